package io.pepperfield.node;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.predict.ClassTimes;
import io.pepperfield.predict.Predictor;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.List;
import java.util.OptionalDouble;

/** How long tasks run and jobs take, by WIRE's predictor and what is known of their classes. */
final class JobPredictions {

    private final ClusterState cluster;
    private final ClassTimes classTimes = new ClassTimes();

    JobPredictions(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** A task of the job has completed after running for so long. */
    void finished(Job job, double ranS) {
        job.times.finished(ranS, OptionalDouble.empty());
        classTimes.finished(job.spec.workload(), ranS);
    }

    /** How long a task of the class runs, by those of late or else by its owner's estimate. */
    double expected(JobSpec spec) {
        return classTimes.expected(spec.workload(), spec.expectedS());
    }

    /**
     * What it needs and is not over: one that this leader does not have is done, or its end is
     * about to be known.
     */
    List<String> needed(Job job) {
        return job.spec.awaits().stream()
                .filter(
                        id ->
                                cluster.jobs().containsKey(id)
                                        && cluster.jobs().get(id).end() == null)
                .toList();
    }

    /** How long a task of a job runs of which nothing has begun. */
    double expected(Job job) {
        return job.spec.service() ? Double.POSITIVE_INFINITY : expected(job.spec);
    }

    /** Until its last task ends, as if room for all that wait were there. */
    double remaining(Job job, double now) {
        double runTime = job.times.count() == 0 ? expected(job) : runTime(job, now);
        if (job.isAwaiting() || job.waitingCount() > 0) {
            return runTime;
        }
        return cluster.ledger().live(job).stream()
                .mapToDouble(
                        attempt ->
                                Predictor.remaining(
                                        runTime,
                                        attempt.running() ? now - attempt.runningSince() : 0))
                .max()
                .orElse(0);
    }

    /** WIRE's prediction for a task of the job; a replica has no end in sight. */
    double runTime(Job job, double now) {
        if (job.spec.service()) {
            return Double.POSITIVE_INFINITY;
        }
        DoubleArrayList running = new DoubleArrayList();
        if (job.times.count() == 0) {
            for (Attempt attempt : cluster.ledger().live(job)) {
                if (attempt.running()) {
                    running.add(now - attempt.runningSince());
                }
            }
        }
        return Predictor.runTime(job.times, running, true, OptionalDouble.empty());
    }
}
