package io.pepperfield.heartbeat;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs each fault in a sender's messages once, since a faulty sender repeats it thousands of times.
 */
final class WarnOnceLogger {

    private static final Logger LOG = LoggerFactory.getLogger(WarnOnceLogger.class);

    /** Number of logged faults after which no more are logged, to bound the memory used. */
    private static final int MAX_ENTRIES = 10_000;

    private final Set<String> logged = new HashSet<>();

    /**
     * Logs the fault and returns true, unless it has been logged before or the limit is reached.
     */
    boolean warn(String sender, String fault) {
        if (logged.size() >= MAX_ENTRIES || !logged.add(sender + ": " + fault)) {
            return false;
        }
        LOG.warn("bad message: sender=\"{}\" fault=\"{}\" (logged once)", sender, fault);
        return true;
    }
}
