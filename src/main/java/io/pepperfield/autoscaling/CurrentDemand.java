package io.pepperfield.autoscaling;

import io.pepperfield.capacity.CapacityPlanner;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.predict.RunTimePredictor;

/** CPUs asked for at one moment, by how long the work can wait. */
final class CurrentDemand {

    /**
     * Part of the time that an objective allows which is planned with; the rest is a reserve for
     * boots and failures.
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
     * Adds tasks of a job that run or wait.
     *
     * @param ranS seconds that each of them has run
     */
    void add(Job job, double ranS, int taskCount) {
        JobSpec spec = job.spec;
        double cpus = taskCount * spec.cpus();
        if (!spec.spotAllowed()) {
            onDemandCpus += cpus;
            return;
        }
        spotTolerantCpus += cpus;
        // A wait longer than any boot is met by renting when the work comes, and is no reason to
        // keep machines for it.
        if (cluster.objectives().maxWait(spec.workload()) > intervalS) {
            deferrableCpus += cpus * deferrableWeight(job, ranS);
        } else {
            urgentCpus += cpus;
        }
    }

    /**
     * Work that can wait counts by the part that it fills of the time left for it: until its class
     * should be complete, with a reserve, and no longer than a billing unit, by which WIRE counts
     * machines.
     */
    private double deferrableWeight(Job job, double ranS) {
        double remainingS = RunTimePredictor.remainingTime(predictions.expectedRunTime(job), ranS);
        double ageS = now - job.readyAt();
        double finishS =
                cluster.objectives().nextFinishTime(job.spec.workload(), ageS + remainingS);
        double availableS = Math.min(billingUnitS, PLANNED_SHARE_OF_OBJECTIVE * finishS - ageS);
        return CapacityPlanner.demandWeight(remainingS, availableS);
    }

    /** Work that must not run on spot instances. */
    double onDemandCpus() {
        return onDemandCpus;
    }

    /** Work that may run on spot instances and should start before a machine could boot for it. */
    double urgentCpus() {
        return urgentCpus;
    }

    /** Work that may run on spot instances and can wait, weighted by the time left for it. */
    double deferrableCpus() {
        return deferrableCpus;
    }

    /** All work that may run on spot instances, unweighted. */
    double spotTolerantCpus() {
        return spotTolerantCpus;
    }
}
