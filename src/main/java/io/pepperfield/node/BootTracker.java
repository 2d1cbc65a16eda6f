package io.pepperfield.node;

import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.predict.BootTimes;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** What boots take at present, by type and zone, and how long to wait for a machine by that. */
final class BootTracker {

    private static final Logger LOG = LoggerFactory.getLogger(BootTracker.class);

    /** Of the expected time: beyond it a machine is not counted on any more and replaced. */
    private static final double COMING = 2;

    /** Of the expected time: beyond it a machine is given up. */
    private static final double WAIT = 3;

    private final MachineTypes types;
    private final BootTimes times;
    private final double unitS;

    /** By type and zone, as of the last look: it is asked for with each awaited machine. */
    private final Map<String, Map<String, Double>> expected = new HashMap<>();

    private final Set<String> bootSeen = new HashSet<>();
    private final Set<String> late = new HashSet<>();

    BootTracker(MachineTypes types, double unitS) {
        this.types = types;
        this.times = new BootTimes(2 * unitS);
        this.unitS = unitS;
    }

    private static String place(String type, String zone) {
        return type + " in " + zone;
    }

    /** A machine that this leader has rented reports for the first time. */
    void reported(Machine machine, double at) {
        times.seen(place(machine.type(), machine.zone()), machine.rentedAt(), at);
        bootSeen.add(machine.name);
    }

    /** Looks at what is awaited; to be called a few times in a report period. */
    void update(Fleet fleet, double now) {
        Map<String, List<Double>> awaited = new HashMap<>();
        Map<String, List<Double>> unseen = new HashMap<>();
        bootSeen.removeIf(name -> fleet.get(name) == null);
        for (Machine machine : fleet.machines()) {
            String place = place(machine.type(), machine.zone());
            // One that an earlier leader waited for in vain may have been up and be silent now:
            // that is no boot.
            if (!machine.up() && !machine.releasing() && !longBooted(machine)) {
                awaited.computeIfAbsent(place, p -> new ArrayList<>()).add(machine.rentedAt());
            } else if (machine.up() && !bootSeen.contains(machine.name)) {
                unseen.computeIfAbsent(place, p -> new ArrayList<>()).add(machine.rentedAt());
            }
        }
        for (MachineType type : types.all()) {
            for (String zone : type.zones()) {
                String place = place(type.name(), zone);
                double boot =
                        times.expected(
                                place,
                                type.bootS(),
                                awaited.getOrDefault(place, List.of()),
                                unseen.getOrDefault(place, List.of()),
                                now);
                expected.computeIfAbsent(type.name(), t -> new HashMap<>()).put(zone, boot);
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

    double expected(MachineType type, String zone) {
        return expected.getOrDefault(type.name(), Map.of()).getOrDefault(zone, type.bootS());
    }

    boolean late(MachineType type, String zone) {
        return BootTimes.late(expected(type, zone), type.bootS());
    }

    /** The longest that is expected of any type anywhere: WIRE's interval is no shorter. */
    double longest() {
        return types.all().stream()
                .flatMapToDouble(
                        type -> type.zones().stream().mapToDouble(zone -> expected(type, zone)))
                .max()
                .orElse(0);
    }

    /** Whether a machine that is not up yet is still counted on. */
    boolean coming(Machine machine, double at) {
        return at - machine.rentedAt() <= patience(machine, COMING);
    }

    /** Whether it has been awaited for too long. */
    boolean givenUp(Machine machine, double at) {
        return at - machine.rentedAt() > patience(machine, WAIT);
    }

    /** Whether a leader that first heard of it then may take it for one that had come up before. */
    boolean longBooted(Machine machine) {
        return machine.awaitedSince() - machine.rentedAt() > patience(machine, WAIT);
    }

    private double patience(Machine machine, double part) {
        MachineType type = types.get(machine.type());
        // Of a machine whose type nobody knows nothing can be expected either; a charge's unit it
        // may stand.
        return type == null ? unitS : part * expected(type, machine.zone());
    }
}
