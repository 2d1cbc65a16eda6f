package io.pepperfield.health;

import io.pepperfield.peer.Membership;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs, on the leader, which controllers have become unresponsive and which are live again. */
public final class MembershipChangeLogger {

    private static final Logger LOG = LoggerFactory.getLogger(MembershipChangeLogger.class);

    private final Membership membership;
    private Set<String> lastLogged = Set.of();

    /** Creates a logger of changes to the membership. */
    public MembershipChangeLogger(Membership membership) {
        this.membership = membership;
    }

    /** Called when the leadership has ended; the next one logs all live controllers again. */
    public void reset() {
        lastLogged = Set.of();
    }

    /** Logs the changes since the last call. */
    public void logChanges(double now) {
        Set<String> live = membership.liveMembers(now);
        for (String controller : lastLogged) {
            if (!live.contains(controller)) {
                LOG.info(
                        "controller unresponsive: controller={} silentS={} liveControllers={}",
                        controller,
                        Math.round(membership.secondsSinceLastMessage(controller, now)),
                        live);
            }
        }
        for (String controller : live) {
            if (!lastLogged.contains(controller)) {
                LOG.info("controller live: controller={}", controller);
            }
        }
        lastLogged = live;
    }
}
