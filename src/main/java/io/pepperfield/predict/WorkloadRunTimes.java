package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.HashMap;
import java.util.Map;

/**
 * Recent run times of each workload class: what is expected of tasks none of whose peers has
 * finished. Used on the owner thread only.
 */
public final class WorkloadRunTimes {

    private static final int MAX_SAMPLES = 64;

    private final Map<String, DoubleArrayList> runTimes = new HashMap<>();

    /** Read for each attempt in each pass, so computed again only after a new run time. */
    private final Map<String, Double> medians = new HashMap<>();

    /** Records the run time of a finished task of that class in seconds. */
    public void record(String workload, double seconds) {
        DoubleArrayList list = runTimes.computeIfAbsent(workload, added -> new DoubleArrayList());
        if (list.size() == MAX_SAMPLES) {
            list.removeDouble(0);
        }
        list.add(seconds);
        medians.remove(workload);
    }

    /** The median of the class, or the owner's estimate while none of it has finished. */
    public double expectedRunTime(String workload, double estimateS) {
        DoubleArrayList list = runTimes.get(workload);
        return list == null
                ? estimateS
                : medians.computeIfAbsent(workload, unknown -> Medians.of(list));
    }
}
