package io.pepperfield.config;

import io.pepperfield.config.Settings.Objective;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Service objectives indexed by workload class. The index is built once, since objectives are
 * looked up for every task in every scheduling step.
 */
public final class Objectives {

    private final Map<String, Double> maxWaitByWorkload = new HashMap<>();
    private final Map<String, DoubleArrayList> finishTimesByWorkload = new HashMap<>();

    /** Indexes the platform's objectives by kind and workload class. */
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
        finishTimesByWorkload.values().forEach(finishTimes -> finishTimes.sort(null));
    }

    /**
     * Returns the next finish deadline of a workload class later than {@code afterS}, both in
     * seconds since submission, or infinity if there is none.
     */
    public double nextFinishDeadlineS(String workload, double afterS) {
        DoubleArrayList finishTimes = finishTimesByWorkload.get(workload);
        for (int i = 0; finishTimes != null && i < finishTimes.size(); i++) {
            if (finishTimes.getDouble(i) > afterS) {
                return finishTimes.getDouble(i);
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    /**
     * Returns the shortest maximum wait of a workload class, or infinity if no objective sets one.
     */
    public double maxWaitS(String workload) {
        return maxWaitByWorkload.getOrDefault(workload, Double.POSITIVE_INFINITY);
    }
}
