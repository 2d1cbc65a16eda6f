package io.pepperfield.heartbeat;

import io.pepperfield.peer.Partitions;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The machines of other partitions whose heartbeats arrive at this controller. Each is redirected
 * to its owner only after a heartbeat interval: the owner may have just ended, and being sent back
 * and forth costs the machine more of its lease than a detour through this controller.
 */
final class MisroutedMachines {

    private final String self;
    private final double heartbeatIntervalS;

    /** Loop time in seconds of the first misrouted heartbeat, by machine. */
    private final Map<String, Double> misroutedSince = new HashMap<>();

    MisroutedMachines(String self, double heartbeatIntervalS) {
        this.self = self;
        this.heartbeatIntervalS = heartbeatIntervalS;
    }

    /**
     * The controller to which the machine is to be redirected; empty while its heartbeats are
     * answered here.
     */
    Optional<String> redirectTarget(String machine, Set<String> partitionOwners, double now) {
        String owner = Partitions.owner(machine, partitionOwners);
        if (owner.equals(self) || owner.isEmpty()) {
            misroutedSince.remove(machine);
            return Optional.empty();
        }
        double since = misroutedSince.computeIfAbsent(machine, name -> now);
        if (now - since < heartbeatIntervalS) {
            return Optional.empty();
        }
        misroutedSince.remove(machine);
        return Optional.of(owner);
    }

    /** Forgets the machines that were first misrouted before that loop time. */
    void evictBefore(double time) {
        misroutedSince.values().removeIf(since -> since < time);
    }
}
