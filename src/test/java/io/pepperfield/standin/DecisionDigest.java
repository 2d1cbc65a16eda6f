package io.pepperfield.standin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Summarizes the decisions of a simulated run: for each interval of simulated time the number of
 * decisions of each kind and a hash over them, and the same for the whole run. The first line that
 * differs between two runs shows in which interval they diverge.
 */
public final class DecisionDigest {

    private static final double INTERVAL_S = 20;

    private DecisionDigest() {}

    /** Returns the lines of the digest. */
    public static List<String> of(List<DecisionLog.Entry> entries) {
        List<String> lines = new ArrayList<>();
        int index = 0;
        for (int interval = 0; index < entries.size(); interval++) {
            int first = index;
            while (index < entries.size()
                    && entries.get(index).at() < (interval + 1) * INTERVAL_S) {
                index++;
            }
            String name = "from second " + Math.round(interval * INTERVAL_S);
            lines.add(line(name, entries.subList(first, index)));
        }
        lines.add(line("in all", entries));
        return lines;
    }

    private static String line(String name, List<DecisionLog.Entry> entries) {
        StringBuilder line = new StringBuilder(name).append(':');
        for (Decision.Kind kind : Decision.Kind.values()) {
            long count = entries.stream().filter(entry -> entry.decision().kind() == kind).count();
            line.append(' ').append(kind.label()).append(' ').append(count).append(',');
        }
        return line.append(" SHA-256 ").append(hash(entries)).toString();
    }

    private static String hash(List<DecisionLog.Entry> entries) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            for (DecisionLog.Entry entry : entries) {
                digest.update((entry + "\n").getBytes(StandardCharsets.UTF_8));
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
