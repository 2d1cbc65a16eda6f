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
 * How long tasks run and jobs take, by WIRE's predictor and by what is known of their workload
 * classes. All times are in seconds.
 */
final class JobPredictions {

    private final ClusterState cluster;
    private final WorkloadRunTimes workloadRunTimes = new WorkloadRunTimes();

    JobPredictions(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** Records the run time of a completed task. */
    void recordRunTime(Job job, double ranS) {
        job.runTimes.record(ranS, OptionalDouble.empty());
        workloadRunTimes.record(job.spec.workload(), ranS);
    }

    /** How long a task of the class runs, by recent ones or else by its owner's estimate. */
    double expectedRunTime(JobSpec spec) {
        return workloadRunTimes.expectedRunTime(spec.workload(), spec.expectedRunTimeS());
    }

    /**
     * The job's dependencies that have not ended: one that this leader does not have is done, or
     * its end is about to be known.
     */
    List<String> unfinishedDependencies(Job job) {
        return job.spec.dependencies().stream()
                .filter(
                        id ->
                                cluster.jobs().containsKey(id)
                                        && cluster.jobs().get(id).finalStatus() == null)
                .toList();
    }

    /** How long a task of a job runs of which none has started. */
    double expectedRunTime(Job job) {
        return job.spec.isService() ? Double.POSITIVE_INFINITY : expectedRunTime(job.spec);
    }

    /** The time until the job's last task ends, if there is capacity for all that wait. */
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
                        attempt -> RunTimePredictor.remainingTime(runTime, attempt.ranFor(now)))
                .max()
                .orElse(0);
    }

    /** WIRE's prediction for a task of the job; infinite for a replica. */
    double predictRunTime(Job job, double now) {
        if (job.spec.isService()) {
            return Double.POSITIVE_INFINITY;
        }
        DoubleArrayList running = new DoubleArrayList();
        if (job.runTimes.finishedTaskCount() == 0) {
            for (Attempt attempt : cluster.liveAttempts().attemptsOf(job)) {
                if (attempt.running()) {
                    running.add(attempt.ranFor(now));
                }
            }
        }
        return RunTimePredictor.predictRunTime(job.runTimes, running, true, OptionalDouble.empty());
    }
}
