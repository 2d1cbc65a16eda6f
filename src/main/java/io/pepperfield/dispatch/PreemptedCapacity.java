package io.pepperfield.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Machines on which tasks are being stopped to make room. The tasks of one machine go one after the
 * other; a swarm of small ones of the lowest rank would take each piece of the room as it comes
 * free, only to be stopped next, again and again.
 */
final class PreemptedCapacity {

    /** Until when (loop time) each machine is kept from the lowest rank. */
    private final Map<String, Double> reservedUntil = new HashMap<>();

    /** A task is being stopped there; the machine's room is kept until then. */
    void reserve(String machine, double until) {
        reservedUntil.merge(machine, until, Math::max);
    }

    void expire(double now) {
        reservedUntil.values().removeIf(until -> until < now);
    }

    /** The machines that work of the lowest rank must leave alone. */
    Set<String> machineNames() {
        return reservedUntil.keySet();
    }
}
