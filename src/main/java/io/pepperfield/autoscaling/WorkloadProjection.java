package io.pepperfield.autoscaling;

import io.pepperfield.capacity.CapacityPlanner;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.capacity.ZoneShortage;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.jobs.Job;
import io.pepperfield.predict.ReadinessPredictor;
import io.pepperfield.predict.RunTimePredictor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What is predicted to need machines at the beginning of the next interval: WIRE's projection of
 * the upcoming load.
 */
final class WorkloadProjection {

    private final ClusterState cluster;
    private final JobPredictions predictions;
    private final CapacitySupply capacitySupply;
    private final double intervalS;
    private final double now;

    private final List<CapacityPlanner.ProjectedWork> projectedWork = new ArrayList<>();
    private final List<ZoneShortage.ZoneBoundWork> zoneBoundWork = new ArrayList<>();
    private final Map<Job, Double> runTimes = new HashMap<>();
    private final CurrentDemand demand;

    /** CPUs that each team may still use below its limit. */
    private final Map<String, Double> remainingTeamCpus = new HashMap<>();

    private WorkloadProjection(
            ClusterState cluster,
            JobPredictions predictions,
            CapacitySupply capacitySupply,
            CurrentDemand demand,
            double intervalS,
            double now) {
        this.cluster = cluster;
        this.predictions = predictions;
        this.capacitySupply = capacitySupply;
        this.demand = demand;
        this.intervalS = intervalS;
        this.now = now;
        cluster.settings()
                .deployment()
                .teams()
                .forEach(
                        (name, team) ->
                                remainingTeamCpus.put(
                                        name,
                                        team.cpuLimit() - cluster.liveAttempts().usedCpus(name)));
    }

    /**
     * Projects the load of all jobs.
     *
     * @param demand is filled with what is asked for at this moment
     * @param intervalS seconds until the next interval begins
     */
    static WorkloadProjection of(
            ClusterState cluster,
            JobPredictions predictions,
            CapacitySupply capacitySupply,
            CurrentDemand demand,
            double intervalS,
            double now) {
        WorkloadProjection projection =
                new WorkloadProjection(
                        cluster, predictions, capacitySupply, demand, intervalS, now);
        projection.addLiveAttempts();
        projection.addWaitingTasks();
        projection.addJobsReadySoon();
        return projection;
    }

    List<CapacityPlanner.ProjectedWork> projectedWork() {
        return projectedWork;
    }

    /** The part of the waiting work that may go to one zone only. */
    List<ZoneShortage.ZoneBoundWork> zoneBoundWork() {
        return zoneBoundWork;
    }

    /** The predicted run time in seconds of a task of each job that has live or waiting tasks. */
    Map<Job, Double> runTimes() {
        return runTimes;
    }

    /** Tasks that may be alive, as far as they go on beyond the interval. */
    private void addLiveAttempts() {
        for (Job job : cluster.liveAttempts().jobs()) {
            if (job.finalStatus() != null || job.isCrashLooping()) {
                continue;
            }
            double runTime = predictions.predictRunTime(job, now);
            runTimes.put(job, runTime);
            for (Attempt attempt : cluster.liveAttempts().attemptsOf(job)) {
                addLiveAttempt(attempt, runTime);
            }
        }
    }

    private void addLiveAttempt(Attempt attempt, double runTime) {
        double ranS = attempt.ranFor(now);
        double remainingS = RunTimePredictor.remainingTime(runTime, ranS) - intervalS;
        if (remainingS > 0) {
            addWork(attempt.job, remainingS, attempt.machine.pool(), 1);
        }
        demand.add(attempt.job, ranS, 1);
    }

    private void addWork(Job job, double remainingS, InstancePool runningOn, int taskCount) {
        projectedWork.add(
                new CapacityPlanner.ProjectedWork(job.spec, remainingS, runningOn, taskCount));
    }

    /** Tasks that could start now. */
    private void addWaitingTasks() {
        for (Job job : cluster.jobs().values()) {
            job.runTimes.updateModel();
            int waiting = job.pendingTaskCount();
            if (job.finalStatus() != null || waiting == 0 || job.isCrashLooping()) {
                continue;
            }
            double runTime =
                    runTimes.computeIfAbsent(
                            job, waitingJob -> predictions.predictRunTime(waitingJob, now));
            int counted = allocateTeamQuota(job, waiting);
            if (counted == 0) {
                continue;
            }
            addWork(job, runTime, null, counted);
            capacitySupply.zoneBoundWork(job, runTime, counted).ifPresent(zoneBoundWork::add);
            demand.add(job, 0, counted);
        }
    }

    /**
     * Jobs that wait for dependencies count if these are predicted to end within the interval, as
     * far as the team's limit allows.
     */
    private void addJobsReadySoon() {
        List<Job> awaiting =
                cluster.jobs().values().stream()
                        .filter(job -> job.finalStatus() == null && job.isAwaitingDependencies())
                        .toList();
        if (awaiting.isEmpty()) {
            return;
        }
        ReadinessPredictor readiness =
                new ReadinessPredictor(
                        id -> predictions.unfinishedDependencies(cluster.jobs().get(id)),
                        id -> predictions.remainingTime(cluster.jobs().get(id), now));
        for (Job job : awaiting) {
            if (readiness.secondsUntilReady(job.spec.id()) > intervalS) {
                continue;
            }
            int counted = allocateTeamQuota(job, job.spec.tasks());
            if (counted > 0) {
                addWork(job, predictions.expectedRunTime(job), null, counted);
            }
        }
    }

    /**
     * How many of the tasks the team's limit allows; they use it up. Tasks beyond it cannot run
     * next, and machines for them would stand idle.
     */
    private int allocateTeamQuota(Job job, int taskCount) {
        String team = job.spec.team();
        double allowed = remainingTeamCpus.getOrDefault(team, 0.0) / job.spec.cpus();
        int counted = (int) Math.min(taskCount, Math.max(0, allowed));
        if (counted > 0) {
            remainingTeamCpus.merge(team, -counted * job.spec.cpus(), Double::sum);
        }
        return counted;
    }
}
