package io.pepperfield.peer;

import it.unimi.dsi.fastutil.HashCommon;
import java.util.Collection;

/**
 * Assigns each machine to the controller that takes its heartbeats, by rendezvous hashing: the
 * controller with the highest hash together with the machine's name, so that only the machines of a
 * controller that ends move.
 */
public final class Partitions {

    private Partitions() {}

    /** The owner of the machine's partition; empty where there is no controller. */
    public static String owner(String machine, Collection<String> controllers) {
        String best = "";
        long highestHash = Long.MIN_VALUE;
        for (String controller : controllers) {
            long hash =
                    HashCommon.mix(
                            (long) machine.hashCode() << 32 ^ controller.hashCode() & 0xffffffffL);
            if (best.isEmpty()
                    || hash > highestHash
                    || hash == highestHash && controller.compareTo(best) < 0) {
                best = controller;
                highestHash = hash;
            }
        }
        return best;
    }
}
