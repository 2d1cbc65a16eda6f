package io.pepperfield.health;

import io.pepperfield.loop.Loop;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects process pauses: that this process did not run for longer than the time to live of a
 * grant. Its state is then stale, since it may have led or owned a partition before the pause that
 * other controllers have taken over. No answer or order may be based on that state until the store
 * or the leader has answered a request sent after the pause. Confined to the event loop.
 */
public final class PauseDetector {

    private static final Logger LOG = LoggerFactory.getLogger(PauseDetector.class);

    private final Loop loop;
    private final double grantTtlS;
    private final DoubleSupplier lastAnsweredRequestSentAt;

    /** Loop time in seconds at which this process last recorded that it runs. */
    private double lastActiveAt;

    /** Loop time in seconds at which this process last resumed after a pause. */
    private double resumedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param grantTtlS time to live of a grant in seconds; a shorter pause cannot change the leader
     * @param lastAnsweredRequestSentAt loop time at which the latest request was sent that the
     *     store or the leader has answered
     */
    public PauseDetector(Loop loop, double grantTtlS, DoubleSupplier lastAnsweredRequestSentAt) {
        this.loop = loop;
        this.grantTtlS = grantTtlS;
        this.lastAnsweredRequestSentAt = lastAnsweredRequestSentAt;
        this.lastActiveAt = loop.now();
    }

    /**
     * Records that the process is running, and returns whether its state is stale. Called with each
     * command batch.
     */
    public boolean updateAndCheckStale() {
        double now = loop.now();
        if (now - lastActiveAt > grantTtlS) {
            LOG.info("process paused: pauseS={}", Math.round(now - lastActiveAt));
            resumedAt = now;
        }
        lastActiveAt = now;
        return resumedAt > lastAnsweredRequestSentAt.getAsDouble();
    }
}
