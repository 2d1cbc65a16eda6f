package io.pepperfield.health;

import io.pepperfield.loop.Loop;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices that this process did not run for longer than a grant lasts. What it knows is then of
 * before, when it may have led or owned a partition that others have taken over: neither answers
 * nor orders may rest on it until somebody has answered something that it asked after resuming.
 */
public final class PauseDetector {

    private static final Logger LOG = LoggerFactory.getLogger(PauseDetector.class);

    private final Loop loop;
    private final double grantS;
    private final DoubleSupplier lastAnswerAt;

    /**
     * When this process last finished a batch of commands, and when it last resumed after a pause.
     */
    private double activeAt;

    private double resumedAt = Double.NEGATIVE_INFINITY;

    /**
     * @param lastAnswerAt sending time of the last question that the state service or the leader
     *     has answered
     */
    public PauseDetector(Loop loop, double grantS, DoubleSupplier lastAnswerAt) {
        this.loop = loop;
        this.grantS = grantS;
        this.lastAnswerAt = lastAnswerAt;
        this.activeAt = loop.now();
    }

    /**
     * To be asked with each batch of commands: whether nothing this process knows may be acted on.
     */
    public boolean checkStale() {
        double now = loop.now();
        if (now - activeAt > grantS) {
            LOG.info("stood still for {} s", Math.round(now - activeAt));
            resumedAt = now;
        }
        activeAt = now;
        return resumedAt > lastAnswerAt.getAsDouble();
    }
}
