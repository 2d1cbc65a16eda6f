package io.pepperfield.peer;

import it.unimi.dsi.fastutil.HashCommon;
import java.util.Collection;

/**
 * Which controller takes a machine's reports: the highest of their hashes with its name, so that
 * few move when one ends.
 */
public final class Partitions {

    private Partitions() {}

    /** Empty where there is none to choose from. */
    public static String owner(String machine, Collection<String> live) {
        String best = "";
        long most = Long.MIN_VALUE;
        for (String node : live) {
            long hash =
                    HashCommon.mix((long) machine.hashCode() << 32 ^ node.hashCode() & 0xffffffffL);
            if (best.isEmpty() || hash > most || hash == most && node.compareTo(best) < 0) {
                best = node;
                most = hash;
            }
        }
        return best;
    }
}
