package io.pepperfield.node;

import io.pepperfield.peer.Members;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes to the leader's log which controllers have fallen silent and which take part again. */
final class LivenessLog {

    private static final Logger LOG = LoggerFactory.getLogger(LivenessLog.class);

    private final Members members;
    private Set<String> logged = Set.of();

    LivenessLog(Members members) {
        this.members = members;
    }

    /** The leadership has ended; the next one names all live controllers anew. */
    void reset() {
        logged = Set.of();
    }

    /** Logs what has changed since the last call. */
    void update(double now) {
        Set<String> live = members.live(now);
        for (String node : logged) {
            if (!live.contains(node)) {
                LOG.info(
                        "{} has been silent for {} s: its workers go to {}",
                        node,
                        Math.round(members.silentFor(node, now)),
                        live);
            }
        }
        for (String node : live) {
            if (!logged.contains(node)) {
                LOG.info("{} takes part", node);
            }
        }
        logged = live;
    }
}
