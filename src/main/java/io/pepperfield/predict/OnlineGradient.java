package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.Double2ObjectMap;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;

/**
 * WIRE's algorithm 1: run time as a0 + a1 x size, by online gradient descent from zero at rate 0.1.
 */
final class OnlineGradient {

    private static final double RATE = 0.1;

    private double a0;
    private double a1;

    void step(Double2ObjectMap<DoubleArrayList> groups) {
        double d0 = 0;
        double d1 = 0;
        for (Double2ObjectMap.Entry<DoubleArrayList> group : groups.double2ObjectEntrySet()) {
            double size = group.getDoubleKey();
            double missed = Medians.of(group.getValue()) - (a1 * size + a0);
            d0 += -2.0 / groups.size() * missed;
            d1 += -2.0 / groups.size() * size * missed;
        }
        a0 -= RATE * d0;
        a1 -= RATE * d1;
    }

    double at(double size) {
        return Math.max(0, a0 + a1 * size);
    }
}
