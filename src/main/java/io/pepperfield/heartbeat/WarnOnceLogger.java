package io.pepperfield.heartbeat;

import java.util.HashSet;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Logs each fault of a sender's messages once: a broken sender repeats it thousands of times. */
final class WarnOnceLogger {

    private static final Logger LOG = LoggerFactory.getLogger(WarnOnceLogger.class);

    /** Bounds the memory; whatever comes after so many is not logged. */
    private static final int MAX_ENTRIES = 10_000;

    private final Set<String> logged = new HashSet<>();

    /** Logs the fault; returns whether it had not been logged before. */
    boolean warn(String sender, String fault) {
        if (logged.size() >= MAX_ENTRIES || !logged.add(sender + ": " + fault)) {
            return false;
        }
        LOG.warn("bad message: sender=\"{}\" fault=\"{}\" (logged once)", sender, fault);
        return true;
    }
}
