package io.pepperfield.health;

import io.pepperfield.peer.Membership;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Writes to the leader's log which controllers have fallen silent and which are live again. */
public final class MembershipChangeLogger {

    private static final Logger LOG = LoggerFactory.getLogger(MembershipChangeLogger.class);

    private final Membership membership;
    private Set<String> logged = Set.of();

    /** Creates a log of that membership; nothing has been logged yet. */
    public MembershipChangeLogger(Membership membership) {
        this.membership = membership;
    }

    /** The leadership has ended; the next one names all live controllers anew. */
    public void reset() {
        logged = Set.of();
    }

    /** Logs what has changed since the last call. */
    public void logChanges(double now) {
        Set<String> live = membership.liveMembers(now);
        for (String controller : logged) {
            if (!live.contains(controller)) {
                LOG.info(
                        "controller silent: controller={} silentS={} liveControllers={}",
                        controller,
                        Math.round(membership.secondsSinceLastMessage(controller, now)),
                        live);
            }
        }
        for (String controller : live) {
            if (!logged.contains(controller)) {
                LOG.info("controller live: controller={}", controller);
            }
        }
        logged = live;
    }
}
