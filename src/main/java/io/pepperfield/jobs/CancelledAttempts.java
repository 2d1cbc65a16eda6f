package io.pepperfield.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The attempts of cancelled jobs that may still be alive by what is stored of them, indexed by
 * machine. The index is built on demand and dropped with each change. Confined to the event loop's
 * thread.
 */
final class CancelledAttempts {

    private final Set<JobRecord> jobsWithLiveTasks = new HashSet<>();

    /** Null where a job has changed since it was built. */
    private Map<String, List<CancelledAttempt>> attemptsByMachine;

    /** To be called after each change of a job's final state or of its task states. */
    void update(JobRecord record) {
        if (record.finalStatus() != Status.CANCELLED) {
            return;
        }
        if (record.runningTasks() > 0) {
            jobsWithLiveTasks.add(record);
        } else {
            jobsWithLiveTasks.remove(record);
        }
        attemptsByMachine = null;
    }

    /**
     * A loop time in seconds at which none of the jobs was cancelled that may have attempts on the
     * machine; infinity where there is none.
     *
     * @param settled attempts that need not be considered
     */
    double noCancellationsBefore(String machine, Predicate<CancelledAttempt> settled) {
        if (attemptsByMachine == null) {
            attemptsByMachine = new HashMap<>();
            jobsWithLiveTasks.forEach(this::index);
        }
        return attemptsByMachine.getOrDefault(machine, List.of()).stream()
                .filter(settled.negate())
                .mapToDouble(CancelledAttempt::jobActiveAt)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    private void index(JobRecord record) {
        for (TaskState state : record.taskStates()) {
            if (state.phase() == TaskState.Phase.LIVE) {
                CancelledAttempt attempt =
                        new CancelledAttempt(
                                record.spec().id() + "/" + state.task(),
                                state.attempt(),
                                record.lastKnownActiveAt());
                attemptsByMachine
                        .computeIfAbsent(state.machine(), m -> new ArrayList<>())
                        .add(attempt);
            }
        }
    }
}
