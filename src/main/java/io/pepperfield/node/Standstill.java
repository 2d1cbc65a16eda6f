package io.pepperfield.node;

import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Notices that this process did not run for longer than a grant lasts. What it knows is then of
 * before, when it may have led or owned a partition that others have taken over: neither answers
 * nor orders may rest on it until somebody has answered something that it asked after waking.
 */
final class Standstill {

    private static final Logger LOG = LoggerFactory.getLogger(Standstill.class);

    private final Loop loop;
    private final double grantS;
    private final DoubleSupplier lastWordAt;

    /**
     * When this process last finished a batch of commands, and when it last woke from standing
     * still.
     */
    private double awakeAt;

    private double wokeAt = Double.NEGATIVE_INFINITY;

    /**
     * @param lastWordAt sending time of the last question that the state service or the leader has
     *     answered
     */
    Standstill(Loop loop, double grantS, DoubleSupplier lastWordAt) {
        this.loop = loop;
        this.grantS = grantS;
        this.lastWordAt = lastWordAt;
        this.awakeAt = loop.now();
    }

    /**
     * To be asked with each batch of commands: whether nothing this process knows may be acted on.
     */
    boolean stale() {
        double now = loop.now();
        if (now - awakeAt > grantS) {
            LOG.info("stood still for {} s", Math.round(now - awakeAt));
            wokeAt = now;
        }
        awakeAt = now;
        return wokeAt > lastWordAt.getAsDouble();
    }
}
