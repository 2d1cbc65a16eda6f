package io.pepperfield.standin;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** One job: what its user has asked and heard, and what has become of its tasks. */
final class SimJob {

    final JobPlan plan;
    boolean accepted;
    boolean cancelRequested;

    /** When its user was told that it is cancelled. */
    double cancelledAt = Double.NaN;

    /** The last status that its user heard; a final one stays. */
    String lastStatus = "";

    double lastAnswerAt;
    boolean unansweredReported;
    boolean runAfterCancelReported;

    /**
     * Since when it has waited although there was room, or when it was seen without need to wait.
     */
    double waitingSince;

    final Set<Integer> completedTasks = new HashSet<>();

    /** Where its tasks are now, by their numbers. */
    final Map<Integer, WorkerStandIn> workersByTask = new TreeMap<>();

    SimJob(JobPlan plan) {
        this.plan = plan;
    }

    boolean isFinished() {
        return isFinal(lastStatus);
    }

    static boolean isFinal(String status) {
        return status.equals("done") || status.equals("cancelled");
    }

    boolean isComplete() {
        return completedTasks.size() == plan.tasks();
    }

    static int taskNumber(String task) {
        return Integer.parseInt(task.substring(task.indexOf('/') + 1));
    }

    static String jobIdOf(String task) {
        return task.substring(0, task.indexOf('/'));
    }
}
