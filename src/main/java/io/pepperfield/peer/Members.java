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
public final class Members {

    /** What is known of one controller: its process, the last message's number and its time. */
    private static final class Member {
        String life = "";
        long sequence;
        double heardAt = Double.NEGATIVE_INFINITY;
        final Set<String> earlier = new HashSet<>();
    }

    private final String self;
    private final double graceS;
    private final Map<String, Member> members = new HashMap<>();

    /**
     * @param graceS how long after its last message a member still counts as live
     */
    public Members(String self, double graceS) {
        this.self = self;
        this.graceS = graceS;
    }

    /**
     * A message of that member came; false where it must be ignored. A process that is back within
     * a fraction of a second must not be taken for the one before it, nor may a late message of the
     * earlier process count for the new one.
     */
    public boolean heard(String node, String life, long sequence, double now) {
        Member member = members.computeIfAbsent(node, n -> new Member());
        if (member.earlier.contains(life)
                || member.life.equals(life) && sequence <= member.sequence) {
            return false;
        }
        if (!member.life.equals(life)) {
            member.earlier.add(member.life);
            member.life = life;
        }
        member.sequence = sequence;
        member.heardAt = now;
        return true;
    }

    /** Seconds since its last message, infinite where none has come. */
    public double silentFor(String node, double now) {
        Member member = members.get(node);
        return member == null ? Double.POSITIVE_INFINITY : now - member.heardAt;
    }

    /** This node and those whose messages came of late. */
    public Set<String> live(double now) {
        Set<String> live = new TreeSet<>(Set.of(self));
        members.forEach(
                (node, member) -> {
                    if (now - member.heardAt < graceS) {
                        live.add(node);
                    }
                });
        return live;
    }
}
