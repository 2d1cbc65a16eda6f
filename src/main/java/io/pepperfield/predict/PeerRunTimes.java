package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.Double2ObjectMap;
import it.unimi.dsi.fastutil.doubles.Double2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.OptionalDouble;

/**
 * Run times of a job's finished tasks, which are the peers of its other tasks; also by input size
 * where sizes are known. Confined to the event loop.
 */
public final class PeerRunTimes {

    private static final int MAX_SAMPLES = 256;

    private final DoubleArrayList recentRunTimes = new DoubleArrayList();
    private int count;
    private final Double2ObjectMap<DoubleArrayList> bySize = new Double2ObjectOpenHashMap<>();
    private final OnlineLinearRegression regression = new OnlineLinearRegression();

    /**
     * Cached, since it is read for each task in each pass; NaN after a new run time until it is
     * computed again.
     */
    private double median = Double.NaN;

    /** Records the run time in seconds of a finished task, and its input size if known. */
    public void record(double seconds, OptionalDouble size) {
        if (recentRunTimes.size() < MAX_SAMPLES) {
            recentRunTimes.add(seconds);
        } else {
            // The median of the last few hundred run times is as good, and avoids sorting all run
            // times of an array of 100,000 tasks again for each task.
            recentRunTimes.set(count % MAX_SAMPLES, seconds);
        }
        count++;
        median = Double.NaN;
        if (size.isPresent()) {
            bySize.computeIfAbsent(size.getAsDouble(), added -> new DoubleArrayList()).add(seconds);
        }
    }

    /** Returns the number of finished tasks. */
    public int finishedTaskCount() {
        return count;
    }

    /** Returns the median run time in seconds, or 0 before the first task has finished. */
    public double median() {
        if (Double.isNaN(median)) {
            median = Medians.of(recentRunTimes);
        }
        return median;
    }

    OptionalDouble medianForSize(double size) {
        DoubleArrayList group = bySize.get(size);
        return group == null ? OptionalDouble.empty() : OptionalDouble.of(Medians.of(group));
    }

    /**
     * Runs one step of the online regression over the groups of equal size. Must be called once per
     * interval.
     */
    public void updateModel() {
        if (!bySize.isEmpty()) {
            regression.step(bySize);
        }
    }

    double predictFromModel(double size) {
        return regression.predict(size);
    }
}
