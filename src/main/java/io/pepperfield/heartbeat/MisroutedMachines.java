package io.pepperfield.heartbeat;

import io.pepperfield.peer.Partitions;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks the machines of other partitions whose heartbeats arrive at this controller. A machine is
 * redirected to its partition owner only after a heartbeat interval: the owner may just have
 * failed, and being redirected back and forth takes more of the machine's lease than having its
 * heartbeats forwarded by this controller.
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
     * Returns the controller to which the machine is to be redirected, or empty while this
     * controller answers its heartbeats.
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

    /** Evicts the machines that were first misrouted before the given loop time. */
    void evictBefore(double time) {
        misroutedSince.values().removeIf(since -> since < time);
    }
}
