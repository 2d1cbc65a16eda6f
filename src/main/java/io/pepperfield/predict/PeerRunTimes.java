package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.Double2ObjectMap;
import it.unimi.dsi.fastutil.doubles.Double2ObjectOpenHashMap;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.OptionalDouble;

/**
 * Run times of a job's finished tasks (the peers of its others), and by input size where sizes are
 * known. Used on the owner thread only.
 */
public final class PeerRunTimes {

    private static final int MAX_SAMPLES = 256;

    private final DoubleArrayList recentRunTimes = new DoubleArrayList();
    private int count;
    private final Double2ObjectMap<DoubleArrayList> bySize = new Double2ObjectOpenHashMap<>();
    private final OnlineLinearRegression regression = new OnlineLinearRegression();

    /**
     * Read for each task in each pass, so computed again only after a new run time; NaN while it is
     * not known.
     */
    private double median = Double.NaN;

    /** Records the run time of a finished task in seconds, and its input size where it has one. */
    public void record(double seconds, OptionalDouble size) {
        if (recentRunTimes.size() < MAX_SAMPLES) {
            recentRunTimes.add(seconds);
        } else {
            // The median of the last few hundred is as good, and an array of 100,000 tasks is not
            // sorted again for each.
            recentRunTimes.set(count % MAX_SAMPLES, seconds);
        }
        count++;
        median = Double.NaN;
        if (size.isPresent()) {
            bySize.computeIfAbsent(size.getAsDouble(), added -> new DoubleArrayList()).add(seconds);
        }
    }

    /** The number of finished tasks. */
    public int finishedTaskCount() {
        return count;
    }

    /** The median run time in seconds; 0 before the first finished task. */
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

    /** One step of the online fit over the groups of equal size; once in each interval. */
    public void updateModel() {
        if (!bySize.isEmpty()) {
            regression.step(bySize);
        }
    }

    double predictFromModel(double size) {
        return regression.predict(size);
    }
}
