package io.pepperfield.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The machines that may exist, in the order in which they were added, and the names of released
 * machines. Used on the owner thread only.
 */
final class MachineRegistry {

    private final Map<String, Machine> machines = new LinkedHashMap<>();

    /**
     * Names of machines whose release the cloud has confirmed. A late heartbeat must not add such a
     * machine again.
     */
    private final Set<String> released = new HashSet<>();

    Collection<Machine> all() {
        return machines.values();
    }

    /** Returns the machine with this name, or null if it is unknown. */
    Machine get(String name) {
        return machines.get(name);
    }

    Machine getOrAdd(String name, double now) {
        return machines.computeIfAbsent(name, added -> new Machine(added, now));
    }

    boolean wasReleased(String name) {
        return released.contains(name);
    }

    /** Removes a machine permanently and returns it, or null if it was unknown. */
    Machine markReleased(String name) {
        released.add(name);
        return machines.remove(name);
    }

    /**
     * Returns the number of machines by state name as shown to operators.
     *
     * @param unresponsiveAfterS seconds without a heartbeat or direct response after which a
     *     machine counts as unresponsive, shown as {@code silent}
     */
    Map<String, Integer> countByState(double now, double unresponsiveAfterS) {
        Map<String, Integer> counts = new HashMap<>();
        for (Machine machine : machines.values()) {
            counts.merge(stateName(machine, now, unresponsiveAfterS), 1, Integer::sum);
        }
        return counts;
    }

    private static String stateName(Machine machine, double now, double unresponsiveAfterS) {
        if (machine.releasing) {
            return "releasing";
        }
        if (!machine.ready()) {
            return "awaited";
        }
        return machine.unresponsiveFor(now) > unresponsiveAfterS ? "silent" : "up";
    }
}
