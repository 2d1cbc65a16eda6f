package io.pepperfield.autoscaling;

import io.pepperfield.capacity.CapacityPlanner;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.predict.RunTimePredictor;

/** CPU demand at one moment, classified by how long the work can wait. */
final class CurrentDemand {

    /**
     * Fraction of the time allowed by an objective that is planned for; the remainder is a reserve
     * for boots and failures.
     */
    private static final double PLANNED_SHARE_OF_OBJECTIVE = 0.5;

    private final ClusterState cluster;
    private final JobPredictions predictions;
    private final double intervalS;
    private final double billingUnitS;
    private final double now;

    private double onDemandCpus;
    private double urgentCpus;
    private double deferrableCpus;
    private double spotTolerantCpus;

    CurrentDemand(
            ClusterState cluster,
            JobPredictions predictions,
            double intervalS,
            double billingUnitS,
            double now) {
        this.cluster = cluster;
        this.predictions = predictions;
        this.intervalS = intervalS;
        this.billingUnitS = billingUnitS;
        this.now = now;
    }

    /**
     * Adds running or waiting tasks of a job.
     *
     * @param elapsedS seconds for which each task has run
     */
    void add(Job job, double elapsedS, int taskCount) {
        JobSpec spec = job.spec;
        double cpus = taskCount * spec.cpus();
        if (!spec.spotAllowed()) {
            onDemandCpus += cpus;
            return;
        }
        spotTolerantCpus += cpus;
        // If the work may wait longer than any boot takes, machines can be rented when it arrives
        // and need not be kept for it.
        if (cluster.objectives().maxWaitS(spec.workload()) > intervalS) {
            deferrableCpus += cpus * deferrableWeight(job, elapsedS);
        } else {
            urgentCpus += cpus;
        }
    }

    /**
     * Returns the weight of deferrable work: the fraction of the available time that its remaining
     * run time fills. The available time ends when its workload class should be complete, minus the
     * reserve, and is at most a billing unit, the period for which WIRE counts machines.
     */
    private double deferrableWeight(Job job, double elapsedS) {
        double remainingS =
                RunTimePredictor.remainingTime(predictions.expectedRunTime(job), elapsedS);
        double ageS = now - job.readyAt();
        double finishLimitS =
                cluster.objectives().nextFinishDeadlineS(job.spec.workload(), ageS + remainingS);
        double availableS =
                Math.min(billingUnitS, PLANNED_SHARE_OF_OBJECTIVE * finishLimitS - ageS);
        return CapacityPlanner.demandWeight(remainingS, availableS);
    }

    /** CPUs of work that must not run on spot instances. */
    double onDemandCpus() {
        return onDemandCpus;
    }

    /**
     * CPUs of work that may run on spot instances and should start before a machine could boot for
     * it.
     */
    double urgentCpus() {
        return urgentCpus;
    }

    /**
     * CPUs of work that may run on spot instances and can wait, weighted by the time left for it.
     */
    double deferrableCpus() {
        return deferrableCpus;
    }

    /** CPUs of all work that may run on spot instances, unweighted. */
    double spotTolerantCpus() {
        return spotTolerantCpus;
    }
}
