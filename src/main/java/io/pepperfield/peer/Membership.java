package io.pepperfield.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The leader's view of the other controllers: which of them are live, and the current incarnation
 * of their processes. Confined to the event loop.
 */
public final class Membership {

    /**
     * State of one controller: its process incarnation, and the sequence number and time of its
     * last message.
     */
    private static final class Member {
        String incarnation = "";
        long sequence;
        double lastMessageAt = Double.NEGATIVE_INFINITY;
        final Set<String> earlierIncarnations = new HashSet<>();
    }

    private final String self;
    private final double livenessTimeoutS;
    private final Map<String, Member> members = new HashMap<>();

    /**
     * @param self the name of this controller, which always counts as live
     * @param livenessTimeoutS seconds after its last message for which a controller counts as live
     */
    public Membership(String self, double livenessTimeoutS) {
        this.self = self;
        this.livenessTimeoutS = livenessTimeoutS;
    }

    /**
     * Records a message; returns false if it must be ignored, as a duplicate or from an earlier
     * incarnation. A process that is restarted within a fraction of a second must be told apart
     * from its predecessor, and a late message of the predecessor must not count as a sign of life
     * of the new process.
     */
    public boolean recordMessage(String controller, String incarnation, long sequence, double now) {
        Member member = members.computeIfAbsent(controller, name -> new Member());
        if (member.earlierIncarnations.contains(incarnation)
                || member.incarnation.equals(incarnation) && sequence <= member.sequence) {
            return false;
        }
        if (!member.incarnation.equals(incarnation)) {
            member.earlierIncarnations.add(member.incarnation);
            member.incarnation = incarnation;
        }
        member.sequence = sequence;
        member.lastMessageAt = now;
        return true;
    }

    /** Returns the seconds since the controller's last message, infinite before the first. */
    public double secondsSinceLastMessage(String controller, double now) {
        Member member = members.get(controller);
        return member == null ? Double.POSITIVE_INFINITY : now - member.lastMessageAt;
    }

    /** Returns this controller and those whose last message is within the liveness timeout. */
    public Set<String> liveMembers(double now) {
        Set<String> live = new TreeSet<>(Set.of(self));
        members.forEach(
                (controller, member) -> {
                    if (now - member.lastMessageAt < livenessTimeoutS) {
                        live.add(controller);
                    }
                });
        return live;
    }
}
