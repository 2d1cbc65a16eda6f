package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.Arrays;

/** The middle of a list of run times; 0 where there is none. */
public final class Medians {

    private Medians() {}

    /** The median of the values; 0 where there is none. */
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
