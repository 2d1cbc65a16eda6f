package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.OptionalDouble;

/**
 * WIRE's five policies (Xie et al., "WIRE: Resource-efficient Scaling with Online Prediction for
 * DAG-based Workflows") for predicting the minimum run time of a task from its peers in the same
 * job. Stateless.
 */
public final class RunTimePredictor {

    private RunTimePredictor() {}

    /**
     * Predicts the run time of a task in seconds from its peers, as WIRE does.
     *
     * @param times run times of the finished peers
     * @param running elapsed run time in seconds of each running peer
     * @param ready whether the task could start now
     * @param size input size of the task, if known
     */
    public static double predictRunTime(
            PeerRunTimes times, DoubleArrayList running, boolean ready, OptionalDouble size) {
        if (times.finishedTaskCount() == 0) {
            // Policies 1 and 2: no peer has started, or the running peers are assumed to be about
            // to complete.
            return Medians.of(running);
        }
        if (!ready || size.isEmpty()) {
            return times.median();
        }
        OptionalDouble sameSizeMedian = times.medianForSize(size.getAsDouble());
        return sameSizeMedian.isPresent()
                ? sameSizeMedian.getAsDouble()
                : times.predictFromModel(size.getAsDouble());
    }

    /** Returns the remaining time of a task that has run for {@code elapsedS}; never negative. */
    public static double remainingTime(double runTime, double elapsedS) {
        return Math.max(0, runTime - elapsedS);
    }
}
