package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.HashMap;
import java.util.Map;

/**
 * Late run times of each class of jobs: what is expected of work whose own peers have shown nothing
 * yet.
 */
public final class WorkloadRunTimes {

    private static final int MAX_SAMPLES = 64;

    private final Map<String, DoubleArrayList> runTimes = new HashMap<>();

    /** Asked for each attempt in each step: the middle is looked for again only after news. */
    private final Map<String, Double> medians = new HashMap<>();

    /** Records the run time of a finished task of that class in seconds. */
    public void record(String workload, double seconds) {
        DoubleArrayList list = runTimes.computeIfAbsent(workload, w -> new DoubleArrayList());
        if (list.size() == MAX_SAMPLES) {
            list.removeDouble(0);
        }
        list.add(seconds);
        medians.remove(workload);
    }

    /** The median of the class, or the owner's estimate while none of it has finished. */
    public double expectedRunTime(String workload, double estimateS) {
        DoubleArrayList list = runTimes.get(workload);
        return list == null ? estimateS : medians.computeIfAbsent(workload, w -> Medians.of(list));
    }
}
