package io.pepperfield.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The machines that may exist, in the order in which they became known, and the names of those that
 * are released. Used on the owner thread only.
 */
final class MachineRegistry {

    private final Map<String, Machine> machines = new LinkedHashMap<>();

    /** Confirmed by the cloud: a late heartbeat of one must not bring it back. */
    private final Set<String> released = new HashSet<>();

    Collection<Machine> all() {
        return machines.values();
    }

    /** The machine of that name, or null where it is not known. */
    Machine get(String name) {
        return machines.get(name);
    }

    Machine getOrAdd(String name, double now) {
        return machines.computeIfAbsent(name, added -> new Machine(added, now));
    }

    boolean wasReleased(String name) {
        return released.contains(name);
    }

    /** Removes a machine for good; null where it was not known. */
    Machine markReleased(String name) {
        released.add(name);
        return machines.remove(name);
    }

    /**
     * The number of machines in each state, by the names that operators see.
     *
     * @param silentAfterS seconds without a heartbeat or answer after which a machine is silent
     */
    Map<String, Integer> countByState(double now, double silentAfterS) {
        Map<String, Integer> counts = new HashMap<>();
        for (Machine machine : machines.values()) {
            counts.merge(stateName(machine, now, silentAfterS), 1, Integer::sum);
        }
        return counts;
    }

    private static String stateName(Machine machine, double now, double silentAfterS) {
        if (machine.releasing) {
            return "releasing";
        }
        if (!machine.ready()) {
            return "awaited";
        }
        return machine.unresponsiveFor(now) > silentAfterS ? "silent" : "up";
    }
}
