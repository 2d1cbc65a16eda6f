package io.pepperfield.heartbeat;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Says of each sender and fault once what is wrong with its messages: a broken one sends thousands.
 */
final class LogOnce {

    private static final Logger LOG = LoggerFactory.getLogger(LogOnce.class);
    private static final int MAX_ENTRIES = 10_000;

    private final Set<String> logged = new HashSet<>();

    /** True where it had not been said before. */
    boolean warn(String sender, String fault) {
        if (logged.size() >= MAX_ENTRIES || !logged.add(sender + ": " + fault)) {
            return false;
        }
        LOG.warn("{}: {}; not said again", sender, fault);
        return true;
    }
}
