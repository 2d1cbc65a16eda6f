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
 * How long boots take at present, by machine type and zone, and by that how long to wait for a
 * machine. Belongs to one term; used on the owner thread only. Times are loop times in seconds.
 */
public final class BootTracker {

    private static final Logger LOG = LoggerFactory.getLogger(BootTracker.class);

    /** Multiple of the expected time beyond which a machine is not counted on and is replaced. */
    private static final double REPLACE_FACTOR = 2;

    /** Multiple of the expected time beyond which a machine is given up. */
    private static final double GIVE_UP_FACTOR = 3;

    /** For so many billing units a boot says something about the next. */
    private static final double RETENTION_BILLING_UNITS = 2;

    private final MachineTypes types;
    private final BootTimePredictor predictor;
    private final double billingUnitS;

    /** Seconds by type and zone, as of the last update: read for each awaited machine. */
    private final Map<String, Map<String, Double>> expectedBootTime = new HashMap<>();

    /** Names of machines whose boot this leader has observed. */
    private final Set<String> observedBoots = new HashSet<>();

    /** Machine types in zones where boots are late. */
    private final Set<String> lateLocations = new HashSet<>();

    /**
     * Creates a tracker that knows the nominal boot times alone.
     *
     * @param billingUnitS the billing unit in seconds
     */
    public BootTracker(MachineTypes types, double billingUnitS) {
        this.types = types;
        this.predictor = new BootTimePredictor(RETENTION_BILLING_UNITS * billingUnitS);
        this.billingUnitS = billingUnitS;
    }

    private static String typeInZone(String type, String zone) {
        return type + " in " + zone;
    }

    /** Records the first heartbeat of a machine that this leader has rented. */
    public void machineBooted(Machine machine, double now) {
        predictor.recordBoot(typeInZone(machine.type(), machine.zone()), machine.rentedAt(), now);
        observedBoots.add(machine.name);
    }

    /** Updates the expected boot times; to be called a few times in a heartbeat interval. */
    public void update(Fleet fleet, double now) {
        observedBoots.removeIf(name -> fleet.get(name) == null);
        Map<String, List<Double>> awaitedRentals = new HashMap<>();
        Map<String, List<Double>> unobservedRentals = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            String location = typeInZone(machine.type(), machine.zone());
            // One that an earlier leader awaited in vain may have been ready and be silent now:
            // that
            // is no boot.
            if (!machine.ready() && !machine.releasing() && !mustHaveBootedBefore(machine)) {
                addRental(awaitedRentals, location, machine);
            } else if (machine.ready() && !observedBoots.contains(machine.name)) {
                addRental(unobservedRentals, location, machine);
            }
        }
        for (MachineType type : types.all()) {
            for (String zone : type.zones()) {
                String location = typeInZone(type.name(), zone);
                double bootS =
                        predictor.expectedBootTime(
                                location,
                                type.bootS(),
                                awaitedRentals.getOrDefault(location, List.of()),
                                unobservedRentals.getOrDefault(location, List.of()),
                                now);
                expectedBootTime
                        .computeIfAbsent(type.name(), name -> new HashMap<>())
                        .put(zone, bootS);
                updateLate(type, zone, location, bootS);
            }
        }
    }

    private static void addRental(
            Map<String, List<Double>> rentals, String location, Machine machine) {
        rentals.computeIfAbsent(location, added -> new ArrayList<>()).add(machine.rentedAt());
    }

    private void updateLate(MachineType type, String zone, String location, double bootS) {
        boolean late = isLate(type, zone);
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
     * Seconds that a machine of this type is expected to take there from its rental to its first
     * heartbeat.
     */
    public double expectedBootTime(MachineType type, String zone) {
        return expectedBootTime
                .getOrDefault(type.name(), Map.of())
                .getOrDefault(zone, type.bootS());
    }

    /** Whether a machine of this type has lately been slow to boot there. */
    public boolean isLate(MachineType type, String zone) {
        return BootTimePredictor.isLate(expectedBootTime(type, zone), type.bootS());
    }

    /** The longest expected boot in seconds of any type anywhere: WIRE's interval. */
    public double longestBootTime() {
        return types.all().stream()
                .flatMapToDouble(
                        type ->
                                type.zones().stream()
                                        .mapToDouble(zone -> expectedBootTime(type, zone)))
                .max()
                .orElse(0);
    }

    /** Whether a machine that has sent no heartbeat yet is still counted on. */
    public boolean isStillExpected(Machine machine, double now) {
        return now - machine.rentedAt() <= allowedBootTime(machine, REPLACE_FACTOR);
    }

    /** Whether it has been awaited for too long. */
    public boolean isGivenUp(Machine machine, double now) {
        return now - machine.rentedAt() > allowedBootTime(machine, GIVE_UP_FACTOR);
    }

    /** Whether it must have booted before this leader knew of it, by the time of its rental. */
    public boolean mustHaveBootedBefore(Machine machine) {
        return machine.knownSince() - machine.rentedAt() > allowedBootTime(machine, GIVE_UP_FACTOR);
    }

    private double allowedBootTime(Machine machine, double factor) {
        MachineType type = types.get(machine.type());
        // Nothing is known of an unknown type's boots: the machine may stay for a billing unit.
        return type == null ? billingUnitS : factor * expectedBootTime(type, machine.zone());
    }
}
