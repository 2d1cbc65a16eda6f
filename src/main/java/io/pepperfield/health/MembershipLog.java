package io.pepperfield.health;

import io.pepperfield.peer.Membership;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes to the leader's log which controllers have fallen silent and which take part again. */
public final class MembershipLog {

    private static final Logger LOG = LoggerFactory.getLogger(MembershipLog.class);

    private final Membership membership;
    private Set<String> logged = Set.of();

    /** Creates a log of that membership; nothing has been logged yet. */
    public MembershipLog(Membership members) {
        this.membership = members;
    }

    /** The leadership has ended; the next one names all live controllers anew. */
    public void reset() {
        logged = Set.of();
    }

    /** Logs what has changed since the last call. */
    public void update(double now) {
        Set<String> live = membership.liveMembers(now);
        for (String node : logged) {
            if (!live.contains(node)) {
                LOG.info(
                        "{} has been silent for {} s: its workers go to {}",
                        node,
                        Math.round(membership.silentForS(node, now)),
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
