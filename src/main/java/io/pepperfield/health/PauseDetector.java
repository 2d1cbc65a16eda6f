package io.pepperfield.health;

import io.pepperfield.loop.Loop;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects a process pause: that this process did not run for longer than a grant lasts. What it
 * knows is then stale, from a time when it may have led or owned a partition that others have taken
 * over: neither answers nor orders may rest on it until the store or the leader has answered a
 * request that was sent after the pause. Confined to the event loop.
 */
public final class PauseDetector {

    private static final Logger LOG = LoggerFactory.getLogger(PauseDetector.class);

    private final Loop loop;
    private final double grantS;
    private final DoubleSupplier lastAnswerAt;

    /** Loop time in seconds at which this process was last seen to run. */
    private double activeAt;

    /** Loop time in seconds at which it last resumed after a pause. */
    private double resumedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param grantS the time to live of a grant in seconds: a shorter pause changes no leader
     * @param lastAnswerAt loop time at which the last request was sent that the store or the leader
     *     has answered
     */
    public PauseDetector(Loop loop, double grantS, DoubleSupplier lastAnswerAt) {
        this.loop = loop;
        this.grantS = grantS;
        this.lastAnswerAt = lastAnswerAt;
        this.activeAt = loop.now();
    }

    /**
     * Notes that the process runs, and tells whether what it knows is stale. To be called with each
     * batch of commands.
     */
    public boolean updateAndCheckStale() {
        double now = loop.now();
        if (now - activeAt > grantS) {
            LOG.info("process paused: pauseS={}", Math.round(now - activeAt));
            resumedAt = now;
        }
        activeAt = now;
        return resumedAt > lastAnswerAt.getAsDouble();
    }
}
