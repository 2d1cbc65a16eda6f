package io.pepperfield.admission;

import io.pepperfield.admission.DemandReport.ClassDemand;
import java.util.HashMap;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The classes of jobs that one controller knows, a bounded number for each team. */
final class WorkloadClassRegistry {

    /** Classes of a team beyond these share one, or made-up names would fill the memory. */
    private static final int MAX_CLASSES_PER_TEAM = 16;

    private static final String OVERFLOW_WORKLOAD = "";

    private final Map<WorkloadClass, WorkloadClassState> classes = new HashMap<>();
    private final Map<String, Integer> classCountByTeam = new HashMap<>();

    /** What is kept of a class, or of the one that it shares with others. */
    WorkloadClassState getOrCreate(WorkloadClass workloadClass, double now) {
        WorkloadClassState known = classes.get(workloadClass);
        return known == null
                ? classes.computeIfAbsent(counted(workloadClass), unknown -> add(unknown, now))
                : known;
    }

    private WorkloadClass counted(WorkloadClass workloadClass) {
        String team = workloadClass.team();
        return classCountByTeam.getOrDefault(team, 0) < MAX_CLASSES_PER_TEAM
                ? workloadClass
                : new WorkloadClass(team, OVERFLOW_WORKLOAD, workloadClass.hasDependencies());
    }

    private WorkloadClassState add(WorkloadClass unknown, double now) {
        classCountByTeam.merge(unknown.team(), 1, Integer::sum);
        return new WorkloadClassState(now);
    }

    void forEach(BiConsumer<WorkloadClass, WorkloadClassState> action) {
        classes.forEach(action);
    }

    /** Distinct jobs a minute that ask for admission, of each class. */
    SortedMap<WorkloadClass, Double> demandPerMinute() {
        SortedMap<WorkloadClass, Double> demand = new TreeMap<>();
        classes.forEach((known, admission) -> demand.put(known, admission.demandPerMinute()));
        return demand;
    }

    /** The figures of the classes that are not idle. */
    SortedMap<WorkloadClass, ClassDemand> activeDemand(double now) {
        SortedMap<WorkloadClass, ClassDemand> demands = new TreeMap<>();
        classes.forEach(
                (known, admission) -> {
                    if (!admission.isIdle(now)) {
                        demands.put(known, admission.demand(now));
                    }
                });
        return demands;
    }

    /** Ends a generation of refused jobs, and forgets idle classes. */
    void rotateGeneration(double now) {
        classes.values().forEach(WorkloadClassState::rotateGeneration);
        classes.values().removeIf(admission -> admission.isIdle(now));
        classCountByTeam.clear();
        classes.keySet().forEach(known -> classCountByTeam.merge(known.team(), 1, Integer::sum));
    }
}
