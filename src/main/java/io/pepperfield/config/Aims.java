package io.pepperfield.config;

import io.pepperfield.config.Settings.Objective;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is expected of each class of jobs, sorted out once: it is asked for with each task in each
 * step.
 */
public final class Aims {

    private final Map<String, Double> waits = new HashMap<>();
    private final Map<String, DoubleArrayList> finishes = new HashMap<>();

    /** Sorts the platform's objectives by kind and class of jobs. */
    public Aims(List<Objective> objectives) {
        for (Objective o : objectives) {
            if (o.kind().equals("wait")) {
                waits.merge(o.workload(), o.withinS(), Math::min);
            } else if (o.kind().equals("finished")) {
                finishes.computeIfAbsent(o.workload(), w -> new DoubleArrayList()).add(o.withinS());
            }
        }
        finishes.values().forEach(list -> list.sort(null));
    }

    /**
     * The next time after its submission by which a job of the class should be complete, or
     * infinity.
     */
    public double finish(String workload, double afterS) {
        DoubleArrayList list = finishes.get(workload);
        for (int i = 0; list != null && i < list.size(); i++) {
            if (list.getDouble(i) > afterS) {
                return list.getDouble(i);
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** The shortest wait that any objective asks for a class, or infinity where none is stated. */
    public double wait(String workload) {
        return waits.getOrDefault(workload, Double.POSITIVE_INFINITY);
    }
}
