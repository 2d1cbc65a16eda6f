package io.pepperfield.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The leader's view of the other controllers: which of them are live, and which incarnation of
 * their process it has heard of last. Confined to the event loop.
 */
public final class Membership {

    /**
     * What is known of one controller: its process, and the number and time of its last message.
     */
    private static final class Member {
        String incarnation = "";
        long sequence;
        double lastHeardAt = Double.NEGATIVE_INFINITY;
        final Set<String> earlierIncarnations = new HashSet<>();
    }

    private final String self;
    private final double graceS;
    private final Map<String, Member> members = new HashMap<>();

    /**
     * @param self the name of this controller, which always counts as live
     * @param graceS seconds after its last message for which a controller still counts as live
     */
    public Membership(String self, double graceS) {
        this.self = self;
        this.graceS = graceS;
    }

    /**
     * Records a message; false where it must be ignored as a copy or as an earlier incarnation's. A
     * process that is restarted within a fraction of a second must not be taken for the one before
     * it, nor may a late message of the earlier process count for the new one.
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
        member.lastHeardAt = now;
        return true;
    }

    /** Seconds since its last message, infinite where none has come. */
    public double secondsSinceLastMessage(String controller, double now) {
        Member member = members.get(controller);
        return member == null ? Double.POSITIVE_INFINITY : now - member.lastHeardAt;
    }

    /** This controller and those whose messages came of late. */
    public Set<String> liveMembers(double now) {
        Set<String> live = new TreeSet<>(Set.of(self));
        members.forEach(
                (controller, member) -> {
                    if (now - member.lastHeardAt < graceS) {
                        live.add(controller);
                    }
                });
        return live;
    }
}
