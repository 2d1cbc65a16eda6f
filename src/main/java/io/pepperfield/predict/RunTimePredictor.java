package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.OptionalDouble;

/**
 * WIRE's five policies (Xie et al., "WIRE: Resource-efficient Scaling with Online Prediction for
 * DAG-based Workflows") for a task's least run time, from its peers in the same job. Stateless.
 */
public final class RunTimePredictor {

    private RunTimePredictor() {}

    /**
     * Predicts the run time of a task from its peers, as WIRE does.
     *
     * @param times the finished peers
     * @param running how long each running peer has run so far
     * @param ready whether the task could start now
     * @param size the task's input size, where such exist
     */
    public static double predictRunTime(
            PeerRunTimes times, DoubleArrayList running, boolean ready, OptionalDouble size) {
        if (times.finishedTaskCount() == 0) {
            // Policies 1 and 2: nothing is known, or the running ones are presumed about to
            // complete.
            return Medians.of(running);
        }
        if (!ready || size.isEmpty()) {
            return times.median();
        }
        OptionalDouble same = times.medianForSize(size.getAsDouble());
        return same.isPresent() ? same.getAsDouble() : times.predictFromModel(size.getAsDouble());
    }

    /** What is left of it for a task that has run so long already; never below zero. */
    public static double remainingTime(double runTime, double ranS) {
        return Math.max(0, runTime - ranS);
    }
}
