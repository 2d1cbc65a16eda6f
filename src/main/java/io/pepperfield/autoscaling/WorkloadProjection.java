package io.pepperfield.autoscaling;

import io.pepperfield.capacity.CapacityPlanner;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.capacity.RestrictedWork;
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
 * WIRE's projection of the upcoming load: the work that is predicted to need machines when the next
 * interval begins.
 */
final class WorkloadProjection {

    private final ClusterState cluster;
    private final JobPredictions predictions;
    private final CapacitySupply capacitySupply;
    private final double intervalS;
    private final double now;

    private final List<CapacityPlanner.ProjectedWork> projectedWork = new ArrayList<>();
    private final List<RestrictedWork> restrictedWork = new ArrayList<>();
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
     * @param demand updated with the current demand
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

    /** Returns the waiting work that may not run on every machine of its pools. */
    List<RestrictedWork> restrictedWork() {
        return restrictedWork;
    }

    /**
     * Returns the predicted run time in seconds of a task of each job that has live or waiting
     * tasks.
     */
    Map<Job, Double> runTimes() {
        return runTimes;
    }

    /**
     * Adds the attempts that may be live to the current demand, and to the projected work if they
     * are predicted to run beyond the interval.
     */
    private void addLiveAttempts() {
        for (Job job : cluster.liveAttempts().jobs()) {
            if (job.finalStatus() != null) {
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
        double elapsedS = attempt.runTimeS(now);
        double remainingS = RunTimePredictor.remainingTime(runTime, elapsedS) - intervalS;
        if (remainingS > 0) {
            addWork(attempt.job, remainingS, attempt.machine.pool(), 1);
        }
        demand.add(attempt.job, elapsedS, 1);
    }

    private void addWork(Job job, double remainingS, InstancePool runningOn, int taskCount) {
        projectedWork.add(
                new CapacityPlanner.ProjectedWork(job.spec, remainingS, runningOn, taskCount));
    }

    /** Adds the tasks that could start now; of a crash-looping job, its next probe. */
    private void addWaitingTasks() {
        for (Job job : cluster.jobs().values()) {
            job.runTimes.updateModel();
            int waiting = tasksToStart(job);
            if (job.finalStatus() != null || waiting == 0) {
                continue;
            }
            double runTime =
                    runTimes.computeIfAbsent(
                            job, waitingJob -> predictions.predictRunTime(waitingJob, now));
            int allowedTasks = allocateTeamQuota(job, waiting);
            if (allowedTasks == 0) {
                continue;
            }
            addWork(job, runTime, null, allowedTasks);
            capacitySupply
                    .restrictedWork(job, runTime, allowedTasks, now)
                    .ifPresent(restrictedWork::add);
            demand.add(job, 0, allowedTasks);
        }
    }

    /**
     * Returns the number of tasks that may start before the next interval begins. A crash-looping
     * job needs a machine for its next probe once the end of its backoff is within the interval;
     * without one it could never complete a task, which is what ends the crash loop.
     */
    private int tasksToStart(Job job) {
        return job.startNotBefore() <= now + intervalS
                ? job.startableTaskCount(cluster.liveAttempts().hasAny(job))
                : 0;
    }

    /**
     * Adds the jobs whose dependencies are predicted to end within the interval, up to the team's
     * limit.
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
            int allowedTasks = allocateTeamQuota(job, job.spec.tasks());
            if (allowedTasks > 0) {
                addWork(job, predictions.expectedRunTime(job), null, allowedTasks);
            }
        }
    }

    /**
     * Deducts the tasks from the team's remaining quota and returns how many of them it allows.
     * Tasks beyond the limit cannot run next, so machines for them would be idle.
     */
    private int allocateTeamQuota(Job job, int taskCount) {
        String team = job.spec.team();
        double quotaTasks = remainingTeamCpus.getOrDefault(team, 0.0) / job.spec.cpus();
        int allowedTasks = (int) Math.min(taskCount, Math.max(0, quotaTasks));
        if (allowedTasks > 0) {
            remainingTeamCpus.merge(team, -allowedTasks * job.spec.cpus(), Double::sum);
        }
        return allowedTasks;
    }
}
