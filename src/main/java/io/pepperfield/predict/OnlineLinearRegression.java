package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.Double2ObjectMap;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;

/**
 * WIRE's algorithm 1: models the run time as intercept + slope x size, by online gradient descent
 * from zero with learning rate 0.1.
 */
final class OnlineLinearRegression {

    private static final double LEARNING_RATE = 0.1;

    private double intercept;
    private double slope;

    void step(Double2ObjectMap<DoubleArrayList> groups) {
        double interceptGradient = 0;
        double slopeGradient = 0;
        for (Double2ObjectMap.Entry<DoubleArrayList> group : groups.double2ObjectEntrySet()) {
            double size = group.getDoubleKey();
            double residual = Medians.of(group.getValue()) - (slope * size + intercept);
            interceptGradient += -2.0 / groups.size() * residual;
            slopeGradient += -2.0 / groups.size() * size * residual;
        }
        intercept -= LEARNING_RATE * interceptGradient;
        slope -= LEARNING_RATE * slopeGradient;
    }

    double predict(double size) {
        return Math.max(0, intercept + slope * size);
    }
}
