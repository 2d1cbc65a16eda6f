package io.pepperfield.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The leader's view of the other controllers: which of them take reports for it, and in which life
 * each of them is.
 */
public final class Membership {

    /** What is known of one controller: its process, the last message's number and its time. */
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
     * @param graceS how long after its last message a member still counts as live
     */
    public Membership(String self, double graceS) {
        this.self = self;
        this.graceS = graceS;
    }

    /**
     * A message of that member came; false where it must be ignored. A process that is back within
     * a fraction of a second must not be taken for the one before it, nor may a late message of the
     * earlier process count for the new one.
     */
    public boolean recordMessage(String node, String life, long sequence, double now) {
        Member member = members.computeIfAbsent(node, n -> new Member());
        if (member.earlierIncarnations.contains(life)
                || member.incarnation.equals(life) && sequence <= member.sequence) {
            return false;
        }
        if (!member.incarnation.equals(life)) {
            member.earlierIncarnations.add(member.incarnation);
            member.incarnation = life;
        }
        member.sequence = sequence;
        member.lastHeardAt = now;
        return true;
    }

    /** Seconds since its last message, infinite where none has come. */
    public double silentForS(String node, double now) {
        Member member = members.get(node);
        return member == null ? Double.POSITIVE_INFINITY : now - member.lastHeardAt;
    }

    /** This node and those whose messages came of late. */
    public Set<String> liveMembers(double now) {
        Set<String> live = new TreeSet<>(Set.of(self));
        members.forEach(
                (node, member) -> {
                    if (now - member.lastHeardAt < graceS) {
                        live.add(node);
                    }
                });
        return live;
    }
}
