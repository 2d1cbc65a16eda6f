package io.pepperfield.cluster;

import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.predict.BootTimePredictor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Tracks the current boot times by machine type and zone, and derives from them how long to wait
 * for a machine. Created anew for each leadership term and used on the owner thread only. Times are
 * loop times in seconds.
 */
public final class BootTracker {

    private static final Logger LOG = LoggerFactory.getLogger(BootTracker.class);

    /**
     * Multiple of the expected boot time after which a machine is not counted on and is replaced.
     */
    private static final double REPLACE_FACTOR = 2;

    /** Multiple of the expected boot time after which the boot counts as failed. */
    private static final double BOOT_TIMEOUT_FACTOR = 3;

    /** Billing units for which an observed boot time is used for predictions. */
    private static final double RETENTION_BILLING_UNITS = 2;

    private final MachineTypes types;
    private final BootTimePredictor predictor;
    private final double billingUnitS;

    /**
     * Expected boot time in seconds by type and zone, as of the last update. Cached because it is
     * read for each machine that has not booted yet.
     */
    private final Map<String, Map<String, Double>> expectedBootTime = new HashMap<>();

    /** Names of machines whose boot this leader has observed. */
    private final Set<String> observedBoots = new HashSet<>();

    /** Combinations of machine type and zone with slow boots. */
    private final Set<String> lateLocations = new HashSet<>();

    /**
     * Creates a tracker that uses the nominal boot times until boots are observed.
     *
     * @param billingUnitS the billing unit in seconds
     */
    public BootTracker(MachineTypes types, double billingUnitS) {
        this.types = types;
        this.predictor = new BootTimePredictor(RETENTION_BILLING_UNITS * billingUnitS);
        this.billingUnitS = billingUnitS;
    }

    private static String locationKey(String type, String zone) {
        return type + " in " + zone;
    }

    /** Records the first heartbeat of a machine rented by this leader. */
    public void recordBoot(Machine machine, double now) {
        predictor.recordBoot(locationKey(machine.type(), machine.zone()), machine.rentedAt(), now);
        observedBoots.add(machine.name);
    }

    /** Updates the expected boot times. Must be called several times per heartbeat interval. */
    public void update(Fleet fleet, double now) {
        observedBoots.removeIf(name -> fleet.getMachine(name) == null);
        Map<String, List<Double>> bootingRentals = new HashMap<>();
        Map<String, List<Double>> unobservedRentals = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            String location = locationKey(machine.type(), machine.zone());
            // A machine rented long before this leader added it has presumably booted and is now
            // unreachable. It does not count as a slow boot.
            if (!machine.ready() && !machine.releasing() && !presumedAlreadyBooted(machine)) {
                addRental(bootingRentals, location, machine);
            } else if (machine.ready() && !observedBoots.contains(machine.name)) {
                addRental(unobservedRentals, location, machine);
            }
        }
        for (MachineType type : types.all()) {
            for (String zone : type.zones()) {
                String location = locationKey(type.name(), zone);
                double bootS =
                        predictor.expectedBootTime(
                                location,
                                type.bootS(),
                                bootingRentals.getOrDefault(location, List.of()),
                                unobservedRentals.getOrDefault(location, List.of()),
                                now);
                expectedBootTime
                        .computeIfAbsent(type.name(), name -> new HashMap<>())
                        .put(zone, bootS);
                updateBootLate(type, zone, location, bootS);
            }
        }
    }

    private static void addRental(
            Map<String, List<Double>> rentals, String location, Machine machine) {
        rentals.computeIfAbsent(location, added -> new ArrayList<>()).add(machine.rentedAt());
    }

    private void updateBootLate(MachineType type, String zone, String location, double bootS) {
        boolean late = isBootLate(type, zone);
        boolean changed = late ? lateLocations.add(location) : lateLocations.remove(location);
        if (changed) {
            LOG.info(
                    "boot time {}: type={} zone={} expectedS={} nominalS={}",
                    late ? "late, other zones are preferred" : "normal again",
                    type.name(),
                    zone,
                    Math.round(bootS),
                    Math.round(type.bootS()));
        }
    }

    /**
     * Expected time in seconds from the rental to the first heartbeat for machines of this type in
     * the zone.
     */
    public double expectedBootTime(MachineType type, String zone) {
        return expectedBootTime
                .getOrDefault(type.name(), Map.of())
                .getOrDefault(zone, type.bootS());
    }

    /** Whether machines of this type currently boot slowly in the zone. */
    public boolean isBootLate(MachineType type, String zone) {
        return BootTimePredictor.isLate(expectedBootTime(type, zone), type.bootS());
    }

    /**
     * The longest expected boot time in seconds over all types and zones, used as the interval of
     * the WIRE algorithm.
     */
    public double longestBootTime() {
        return types.all().stream()
                .flatMapToDouble(
                        type ->
                                type.zones().stream()
                                        .mapToDouble(zone -> expectedBootTime(type, zone)))
                .max()
                .orElse(0);
    }

    /**
     * Whether a machine that has sent no heartbeat yet is still expected to boot and needs no
     * replacement.
     */
    public boolean isStillExpected(Machine machine, double now) {
        return now - machine.rentedAt() <= allowedBootTime(machine, REPLACE_FACTOR);
    }

    /** Whether the machine has exceeded the maximum boot time. */
    public boolean hasBootTimedOut(Machine machine, double now) {
        return now - machine.rentedAt() > allowedBootTime(machine, BOOT_TIMEOUT_FACTOR);
    }

    /**
     * Whether the machine was rented so long before this leader added it that its boot is presumed
     * to have completed earlier.
     */
    public boolean presumedAlreadyBooted(Machine machine) {
        return machine.knownSince() - machine.rentedAt()
                > allowedBootTime(machine, BOOT_TIMEOUT_FACTOR);
    }

    private double allowedBootTime(Machine machine, double factor) {
        MachineType type = types.get(machine.type());
        // There is no boot time for an unknown type, so one billing unit is allowed.
        return type == null ? billingUnitS : factor * expectedBootTime(type, machine.zone());
    }
}
