package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.HashMap;
import java.util.Map;

/**
 * Recent run times of each workload class, used to predict tasks without finished peers. Confined
 * to the event loop.
 */
public final class WorkloadRunTimes {

    private static final int MAX_SAMPLES = 64;

    private final Map<String, DoubleArrayList> runTimes = new HashMap<>();

    /** Cached, since they are read for each attempt in each pass; removed after a new run time. */
    private final Map<String, Double> medians = new HashMap<>();

    /** Records the run time in seconds of a finished task of the class. */
    public void record(String workload, double seconds) {
        DoubleArrayList list = runTimes.computeIfAbsent(workload, added -> new DoubleArrayList());
        if (list.size() == MAX_SAMPLES) {
            list.removeDouble(0);
        }
        list.add(seconds);
        medians.remove(workload);
    }

    /**
     * Returns the median run time of the class, or the owner's estimate if no task of the class has
     * finished.
     */
    public double expectedRunTime(String workload, double estimateS) {
        DoubleArrayList list = runTimes.get(workload);
        return list == null
                ? estimateS
                : medians.computeIfAbsent(workload, missing -> Medians.of(list));
    }
}
