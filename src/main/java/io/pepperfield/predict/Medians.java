package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.Arrays;

/** Computes medians of lists of times. */
public final class Medians {

    private Medians() {}

    /** Returns the median of the values, or 0 if there are none. */
    public static double of(DoubleArrayList values) {
        if (values.isEmpty()) {
            return 0;
        }
        double[] sorted = values.toDoubleArray();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
    }
}
