package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.HashMap;
import java.util.Map;

/**
 * Late run times of each class of jobs: what is expected of work whose own peers have shown nothing
 * yet.
 */
public final class ClassTimes {

    private static final int KEPT = 64;

    private final Map<String, DoubleArrayList> times = new HashMap<>();

    /** Asked for each attempt in each step: the middle is looked for again only after news. */
    private final Map<String, Double> medians = new HashMap<>();

    /** Records the run time of a finished task of that class in seconds. */
    public void finished(String workload, double seconds) {
        DoubleArrayList list = times.computeIfAbsent(workload, w -> new DoubleArrayList());
        if (list.size() == KEPT) {
            list.removeDouble(0);
        }
        list.add(seconds);
        medians.remove(workload);
    }

    /** The median of the class, or the owner's estimate while none of it has finished. */
    public double expected(String workload, double estimateS) {
        DoubleArrayList list = times.get(workload);
        return list == null ? estimateS : medians.computeIfAbsent(workload, w -> Medians.of(list));
    }
}
