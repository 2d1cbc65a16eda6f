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

/** What boots take at present, by type and zone, and how long to wait for a machine by that. */
public final class BootTracker {

    private static final Logger LOG = LoggerFactory.getLogger(BootTracker.class);

    /** Of the expected time: beyond it a machine is not counted on any more and replaced. */
    private static final double REPLACE_FACTOR = 2;

    /** Of the expected time: beyond it a machine is given up. */
    private static final double GIVE_UP_FACTOR = 3;

    private final MachineTypes types;
    private final BootTimePredictor predictor;
    private final double billingUnitS;

    /** By type and zone, as of the last look: it is asked for with each awaited machine. */
    private final Map<String, Map<String, Double>> expectedBootTime = new HashMap<>();

    private final Set<String> observedBoots = new HashSet<>();
    private final Set<String> late = new HashSet<>();

    /**
     * Creates a tracker that knows the stated boot times alone; {@code unitS} is the billing unit
     * in seconds.
     */
    public BootTracker(MachineTypes types, double unitS) {
        this.types = types;
        this.predictor = new BootTimePredictor(2 * unitS);
        this.billingUnitS = unitS;
    }

    private static String typeInZone(String type, String zone) {
        return type + " in " + zone;
    }

    /** A machine that this leader has rented reports for the first time. */
    public void machineBooted(Machine machine, double at) {
        predictor.seen(typeInZone(machine.type(), machine.zone()), machine.rentedAt(), at);
        observedBoots.add(machine.name);
    }

    /** Looks at what is awaited; to be called a few times in a report period. */
    public void update(Fleet fleet, double now) {
        Map<String, List<Double>> awaited = new HashMap<>();
        Map<String, List<Double>> unseen = new HashMap<>();
        observedBoots.removeIf(name -> fleet.get(name) == null);
        for (Machine machine : fleet.machines()) {
            String place = typeInZone(machine.type(), machine.zone());
            // One that an earlier leader waited for in vain may have been up and be silent now:
            // that is no boot.
            if (!machine.ready() && !machine.releasing() && !mustHaveBootedBefore(machine)) {
                awaited.computeIfAbsent(place, p -> new ArrayList<>()).add(machine.rentedAt());
            } else if (machine.ready() && !observedBoots.contains(machine.name)) {
                unseen.computeIfAbsent(place, p -> new ArrayList<>()).add(machine.rentedAt());
            }
        }
        for (MachineType type : types.all()) {
            for (String zone : type.zones()) {
                String place = typeInZone(type.name(), zone);
                double boot =
                        predictor.expectedBootTime(
                                place,
                                type.bootS(),
                                awaited.getOrDefault(place, List.of()),
                                unseen.getOrDefault(place, List.of()),
                                now);
                expectedBootTime.computeIfAbsent(type.name(), t -> new HashMap<>()).put(zone, boot);
                if (late(type, zone) ? late.add(place) : late.remove(place)) {
                    LOG.info(
                            "{} boots in {} s, {} s as stated{}",
                            place,
                            Math.round(boot),
                            Math.round(type.bootS()),
                            late.contains(place) ? ": other zones go first" : "");
                }
            }
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
    public boolean late(MachineType type, String zone) {
        return BootTimePredictor.isLate(expectedBootTime(type, zone), type.bootS());
    }

    /** The longest that is expected of any type anywhere: WIRE's interval is no shorter. */
    public double longestBootTime() {
        return types.all().stream()
                .flatMapToDouble(
                        type ->
                                type.zones().stream()
                                        .mapToDouble(zone -> expectedBootTime(type, zone)))
                .max()
                .orElse(0);
    }

    /** Whether a machine that is not up yet is still counted on. */
    public boolean isStillExpected(Machine machine, double at) {
        return at - machine.rentedAt() <= allowedBootTime(machine, REPLACE_FACTOR);
    }

    /** Whether it has been awaited for too long. */
    public boolean isGivenUp(Machine machine, double at) {
        return at - machine.rentedAt() > allowedBootTime(machine, GIVE_UP_FACTOR);
    }

    /** Whether a leader that first heard of it then may take it for one that had come up before. */
    public boolean mustHaveBootedBefore(Machine machine) {
        return machine.knownSince() - machine.rentedAt() > allowedBootTime(machine, GIVE_UP_FACTOR);
    }

    private double allowedBootTime(Machine machine, double part) {
        MachineType type = types.get(machine.type());
        // Of a machine whose type nobody knows nothing can be expected either; a charge's unit it
        // may stand.
        return type == null ? billingUnitS : part * expectedBootTime(type, machine.zone());
    }
}
