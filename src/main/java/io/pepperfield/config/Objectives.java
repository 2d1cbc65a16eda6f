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
public final class Objectives {

    private final Map<String, Double> maxWaitByWorkload = new HashMap<>();
    private final Map<String, DoubleArrayList> finishTimesByWorkload = new HashMap<>();

    /** Sorts the platform's objectives by kind and class of jobs. */
    public Objectives(List<Objective> objectives) {
        for (Objective objective : objectives) {
            if (objective.kind().equals("wait")) {
                maxWaitByWorkload.merge(objective.workload(), objective.withinS(), Math::min);
            } else if (objective.kind().equals("finished")) {
                finishTimesByWorkload
                        .computeIfAbsent(objective.workload(), workload -> new DoubleArrayList())
                        .add(objective.withinS());
            }
        }
        finishTimesByWorkload.values().forEach(list -> list.sort(null));
    }

    /**
     * The next time after its submission by which a job of the class should be complete, or
     * infinity.
     */
    public double nextFinishDeadlineS(String workload, double afterS) {
        DoubleArrayList list = finishTimesByWorkload.get(workload);
        for (int i = 0; list != null && i < list.size(); i++) {
            if (list.getDouble(i) > afterS) {
                return list.getDouble(i);
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /** The shortest wait that any objective asks for a class, or infinity where none is stated. */
    public double maxWaitS(String workload) {
        return maxWaitByWorkload.getOrDefault(workload, Double.POSITIVE_INFINITY);
    }
}
