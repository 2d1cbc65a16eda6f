package io.pepperfield.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The attempts of cancelled jobs whose stored task state is still live, indexed by machine. The
 * index is built on demand and invalidated by each change. Confined to the event loop's thread.
 */
final class CancelledAttempts {

    private final Set<JobRecord> jobsWithLiveTasks = new HashSet<>();

    /** The index; null if a job has changed since it was last built. */
    private Map<String, List<CancelledAttempt>> attemptsByMachine;

    /** Updates the job; must be called after each change of its final state or task states. */
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
     * Returns a loop time in seconds at which no cancelled job with a possibly live attempt on the
     * machine had been cancelled yet; infinity if there is no such job.
     *
     * @param excluded selects attempts to leave out
     */
    double noCancellationsBefore(String machine, Predicate<CancelledAttempt> excluded) {
        if (attemptsByMachine == null) {
            attemptsByMachine = new HashMap<>();
            jobsWithLiveTasks.forEach(this::index);
        }
        return attemptsByMachine.getOrDefault(machine, List.of()).stream()
                .filter(excluded.negate())
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
