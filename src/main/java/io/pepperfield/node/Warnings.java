package io.pepperfield.node;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Says of each sender and fault once what is wrong with its messages: a broken one sends thousands.
 */
final class Warnings {

    private static final Logger LOG = LoggerFactory.getLogger(Warnings.class);
    private static final int MOST = 10_000;

    private final Set<String> said = new HashSet<>();

    /** True where it had not been said before. */
    boolean once(String sender, String fault) {
        if (said.size() >= MOST || !said.add(sender + ": " + fault)) {
            return false;
        }
        LOG.warn("{}: {}; not said again", sender, fault);
        return true;
    }
}
