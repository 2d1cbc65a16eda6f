package io.pepperfield.admission;

import io.pepperfield.admission.DemandReport.ClassDemand;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The workload classes that one controller tracks, a bounded number for each team. */
final class WorkloadClassRegistry {

    /** Further classes of a team share one, so that arbitrary names cannot exhaust the heap. */
    private static final int MAX_CLASSES_PER_TEAM = 16;

    private static final String OVERFLOW_WORKLOAD = "";

    private final Map<WorkloadClass, WorkloadClassState> classes = new HashMap<>();
    private final Map<String, Integer> classCountByTeam = new HashMap<>();

    /** Returns the state of a class, or of the overflow class of its team beyond the limit. */
    WorkloadClassState getOrCreate(WorkloadClass workloadClass, double now) {
        WorkloadClassState tracked = classes.get(workloadClass);
        return tracked == null
                ? classes.computeIfAbsent(orOverflow(workloadClass), added -> add(added, now))
                : tracked;
    }

    private WorkloadClass orOverflow(WorkloadClass workloadClass) {
        String team = workloadClass.team();
        return classCountByTeam.getOrDefault(team, 0) < MAX_CLASSES_PER_TEAM
                ? workloadClass
                : new WorkloadClass(team, OVERFLOW_WORKLOAD, workloadClass.hasDependencies());
    }

    private WorkloadClassState add(WorkloadClass added, double now) {
        classCountByTeam.merge(added.team(), 1, Integer::sum);
        return new WorkloadClassState(now);
    }

    void forEach(BiConsumer<WorkloadClass, WorkloadClassState> action) {
        classes.forEach(action);
    }

    /** Returns the distinct jobs per minute that request admission, by class. */
    SortedMap<WorkloadClass, Double> demandPerMinute() {
        SortedMap<WorkloadClass, Double> demand = new TreeMap<>();
        classes.forEach(
                (workloadClass, state) -> demand.put(workloadClass, state.demandPerMinute()));
        return demand;
    }

    /** Returns the demand and counts of the classes that are not idle. */
    SortedMap<WorkloadClass, ClassDemand> activeDemand(double now) {
        SortedMap<WorkloadClass, ClassDemand> demands = new TreeMap<>();
        classes.forEach(
                (workloadClass, state) -> {
                    if (!state.isIdle(now)) {
                        demands.put(workloadClass, state.demand(now));
                    }
                });
        return demands;
    }

    /** Starts a new generation of refused jobs, and evicts idle classes. */
    void rotateGeneration(double now) {
        classes.values().forEach(WorkloadClassState::rotateGeneration);
        classes.values().removeIf(state -> state.isIdle(now));
        classCountByTeam.clear();
        classes.keySet()
                .forEach(remaining -> classCountByTeam.merge(remaining.team(), 1, Integer::sum));
    }
}
