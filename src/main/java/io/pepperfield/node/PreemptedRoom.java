package io.pepperfield.node;

import io.pepperfield.jobs.JobSpec;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Machines on which tasks are being stopped to make room. The tasks of one machine go one after the
 * other; what is small would take each piece of the room as it comes free, only to be stopped next,
 * again and again.
 */
final class PreemptedRoom {

    /** Until when (loop time) each machine is kept from a rank and those below it. */
    private final Map<JobSpec.Rank, Map<String, Double>> keptUntil =
            new EnumMap<>(JobSpec.Rank.class);

    /** A task of that rank is being stopped there; its room is kept until then. */
    void stopped(String machine, JobSpec.Rank rank, double until) {
        keptUntil.computeIfAbsent(rank, r -> new HashMap<>()).merge(machine, until, Math::max);
    }

    void expire(double now) {
        keptUntil.values().forEach(machines -> machines.values().removeIf(until -> until < now));
    }

    /** The machines that work of that rank must leave alone, unless something is stopped for it. */
    Set<String> keptFrom(JobSpec.Rank rank) {
        Set<String> machines = new HashSet<>();
        keptUntil.forEach(
                (stopped, kept) -> {
                    if (rank.compareTo(stopped) >= 0) {
                        machines.addAll(kept.keySet());
                    }
                });
        return machines;
    }
}
