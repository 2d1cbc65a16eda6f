package io.pepperfield.peer;

import it.unimi.dsi.fastutil.HashCommon;
import java.util.Collection;

/**
 * Assigns each machine to the controller that receives its heartbeats, by rendezvous hashing: the
 * owner is the controller whose name, hashed together with the machine's, gives the highest value.
 * When a controller leaves, only its own machines move to other controllers.
 */
public final class Partitions {

    private Partitions() {}

    /** Returns the owner of the machine's partition, or an empty string without controllers. */
    public static String owner(String machine, Collection<String> controllers) {
        String owner = "";
        long highestHash = Long.MIN_VALUE;
        for (String controller : controllers) {
            long hash =
                    HashCommon.mix(
                            (long) machine.hashCode() << 32 ^ controller.hashCode() & 0xffffffffL);
            if (owner.isEmpty()
                    || hash > highestHash
                    || hash == highestHash && controller.compareTo(owner) < 0) {
                owner = controller;
                highestHash = hash;
            }
        }
        return owner;
    }
}
