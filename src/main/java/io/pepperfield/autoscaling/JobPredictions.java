package io.pepperfield.autoscaling;

import io.pepperfield.cluster.ClusterState;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.predict.RunTimePredictor;
import io.pepperfield.predict.WorkloadRunTimes;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Predicts run times of tasks and remaining times of jobs, from WIRE's predictor and from recent
 * run times of workload classes. All times are in seconds.
 */
final class JobPredictions {

    private final ClusterState cluster;
    private final WorkloadRunTimes workloadRunTimes = new WorkloadRunTimes();

    JobPredictions(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Records the run time of a completed task. */
    void recordRunTime(Job job, double runTimeS) {
        job.runTimes.record(runTimeS, OptionalDouble.empty());
        workloadRunTimes.record(job.spec.workload(), runTimeS);
    }

    /**
     * Returns the expected run time of a task of the class: the median of recent tasks, or the
     * owner's estimate if there are none.
     */
    double expectedRunTime(JobSpec spec) {
        return workloadRunTimes.expectedRunTime(spec.workload(), spec.expectedRunTimeS());
    }

    /**
     * Returns the job's dependencies that have not ended. A dependency that this leader does not
     * track is done, or its final state will be received shortly.
     */
    List<String> unfinishedDependencies(Job job) {
        return job.spec.dependencies().stream()
                .filter(
                        id ->
                                cluster.jobs().containsKey(id)
                                        && cluster.jobs().get(id).finalStatus() == null)
                .toList();
    }

    /** Returns the expected run time of a task of a job none of whose tasks has started. */
    double expectedRunTime(Job job) {
        return job.spec.isService() ? Double.POSITIVE_INFINITY : expectedRunTime(job.spec);
    }

    /**
     * Returns the time until the job's last task ends, if there is capacity for all its pending
     * tasks.
     */
    double remainingTime(Job job, double now) {
        double runTime =
                job.runTimes.finishedTaskCount() == 0
                        ? expectedRunTime(job)
                        : predictRunTime(job, now);
        if (job.isAwaitingDependencies() || job.pendingTaskCount() > 0) {
            return runTime;
        }
        return cluster.liveAttempts().attemptsOf(job).stream()
                .mapToDouble(
                        attempt -> RunTimePredictor.remainingTime(runTime, attempt.runTimeS(now)))
                .max()
                .orElse(0);
    }

    /** Returns WIRE's prediction for a task of the job; infinite for a service replica. */
    double predictRunTime(Job job, double now) {
        if (job.spec.isService()) {
            return Double.POSITIVE_INFINITY;
        }
        DoubleArrayList running = new DoubleArrayList();
        if (job.runTimes.finishedTaskCount() == 0) {
            for (Attempt attempt : cluster.liveAttempts().attemptsOf(job)) {
                if (attempt.running()) {
                    running.add(attempt.runTimeS(now));
                }
            }
        }
        return RunTimePredictor.predictRunTime(job.runTimes, running, true, OptionalDouble.empty());
    }
}
