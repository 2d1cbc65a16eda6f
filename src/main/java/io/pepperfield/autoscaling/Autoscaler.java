package io.pepperfield.autoscaling;

import io.pepperfield.capacity.CapacityPlanner;
import io.pepperfield.capacity.DemandWindow;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.capacity.ZoneShortage;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.config.OperatorSettings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.predict.ReadinessPredictor;
import io.pepperfield.predict.RunTimePredictor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** WIRE's loop: projects the load, rents what is short and returns what is surplus. */
public final class Autoscaler {

    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

    /**
     * Part of the time for which an aim allows that is planned with; the rest is for booting and
     * bad luck.
     */
    private static final double PLANNED_SHARE_OF_OBJECTIVE = 0.5;

    private final ClusterState cluster;
    private final JobPredictions predictions;
    private final CapacitySupply capacitySupply;
    private final PoolScaler poolScaler;
    private final DemandWindow onDemandWindow;
    private final DemandWindow urgentWindow;
    private final DemandWindow deferrableWindow;
    private final Map<InstancePool, DemandWindow> targetWindows = new HashMap<>();
    private final double startedAt;
    private final double billingUnitS;
    private double intervalS;
    private double lastRunAt = Double.NEGATIVE_INFINITY;

    /** Creates the autoscaler of one term. */
    public Autoscaler(ClusterState cluster) {
        this.cluster = cluster;
        this.predictions = new JobPredictions(cluster);
        this.capacitySupply = new CapacitySupply(cluster);
        this.poolScaler = new PoolScaler(cluster);
        this.startedAt = cluster.loop().now();
        this.billingUnitS = cluster.settings().operators().billingUnitS();
        this.onDemandWindow = new DemandWindow(billingUnitS);
        this.urgentWindow = new DemandWindow(billingUnitS);
        this.deferrableWindow = new DemandWindow(billingUnitS);
    }

    /** Learns from a task that has completed after so many seconds of running. */
    public void taskFinished(Job job, double ranS) {
        predictions.taskFinished(job, ranS);
    }

    /** To be called several times in a heartbeat interval. */
    public void tick(double now) {
        if (now - lastRunAt >= cluster.heartbeatIntervalS() / 2 && cluster.machineTypes().known()) {
            lastRunAt = now;
            adjustCapacity(now);
            cluster.passDurations().record("sizing", cluster.loop().now() - now);
        }
    }

    private void adjustCapacity(double now) {
        intervalS = cluster.bootTracker().longestBootTime();
        Projection projection = new Projection(now);
        projection.addLiveAttempts();
        projection.addWaitingTasks();
        projection.addJobsReadySoon();
        Demand demand = projection.demand;
        onDemandWindow.add(now, demand.onDemandCpus);
        urgentWindow.add(now, demand.urgentCpus);
        deferrableWindow.add(now, demand.deferrableCpus);
        List<CapacityPlanner.PoolOffer> offers = capacitySupply.offers(now);
        Map<InstancePool, Integer> targets = targetMachineCounts(projection, offers);
        // What is asked for at this moment is no surplus, whatever was asked for of late; and a new
        // leader has not seen what came and went in the time that a boot takes.
        Map<InstancePool, Integer> needed =
                CapacityPlanner.machinesForDemand(
                        offers,
                        new CapacityPlanner.ExpectedDemand(
                                demand.onDemandCpus, demand.spotTolerantCpus));
        LOG.debug(
                "steering: demand {} {} {}, targets {}, offers {}",
                demand.onDemandCpus,
                demand.urgentCpus,
                demand.deferrableCpus,
                targets,
                offers);
        Map<InstancePool, Map<String, Integer>> shortages = zoneShortages(projection, offers, now);
        for (CapacityPlanner.PoolOffer offer : offers) {
            InstancePool pool = offer.pool();
            int target = targets.getOrDefault(pool, 0);
            Map<String, Integer> shortage = shortages.getOrDefault(pool, Map.of());
            scaleOut(offer, target, shortage);
            scaleIn(offer, Math.max(target, needed.get(pool)), shortage.keySet(), now);
        }
    }

    /** WIRE's counts, beside those for work that is expected by what came of late. */
    private Map<InstancePool, Integer> targetMachineCounts(
            Projection projection, List<CapacityPlanner.PoolOffer> offers) {
        OperatorSettings operators = cluster.settings().operators();
        // The median of a rising demand lags half a unit behind, and a boot comes on top: what
        // waits now counts as it is.
        double patient =
                Math.max(
                        projection.demand.deferrableCpus,
                        deferrableWindow.quantile(operators.steadyQuantile()));
        return CapacityPlanner.targetMachineCounts(
                offers,
                projection.projectedWork,
                new CapacityPlanner.ExpectedDemand(
                        onDemandWindow.quantile(operators.headroomQuantile()),
                        urgentWindow.quantile(operators.headroomQuantile()) + patient),
                billingUnitS,
                operators.partialMachineShare());
    }

    /** What single zones lack for work that may go nowhere else. */
    private Map<InstancePool, Map<String, Integer>> zoneShortages(
            Projection projection, List<CapacityPlanner.PoolOffer> offers, double now) {
        if (projection.zoneBoundWork.isEmpty()) {
            return Map.of();
        }
        return ZoneShortage.missingMachines(
                projection.zoneBoundWork,
                capacitySupply.availableMachines(projection.runTimes, intervalS, now),
                capacitySupply.zoneOffers(offers),
                billingUnitS,
                cluster.settings().operators().partialMachineShare());
    }

    private void scaleOut(
            CapacityPlanner.PoolOffer offer, int target, Map<String, Integer> shortage) {
        int inZones = shortage.values().stream().mapToInt(Integer::intValue).sum();
        int missing = Math.max(target - offer.machineCount(), inZones);
        if (missing > 0) {
            poolScaler.scaleOut(offer.pool(), missing, shortage);
        }
    }

    /**
     * To rent again costs a boot: a surplus must have stood that long before returning it can pay.
     */
    private void scaleIn(
            CapacityPlanner.PoolOffer offer, int wantedNow, Set<String> shortZones, double now) {
        DemandWindow kept =
                targetWindows.computeIfAbsent(
                        offer.pool(),
                        pool -> new DemandWindow(cluster.machineTypes().get(pool.type()).bootS()));
        kept.add(now, wantedNow);
        int most = (int) kept.quantile(1);
        boolean seasoned = now - startedAt >= intervalS;
        if (seasoned && most < offer.machineCount()) {
            int surplus = offer.machineCount() - most;
            poolScaler.scaleIn(offer.pool(), surplus, shortZones, intervalS, now);
        }
    }

    /** What is predicted to ask for room at the beginning of the next interval. */
    private final class Projection {
        final List<CapacityPlanner.ProjectedWork> projectedWork = new ArrayList<>();
        final List<ZoneShortage.ZoneBoundWork> zoneBoundWork = new ArrayList<>();
        final Map<Job, Double> runTimes = new HashMap<>();
        final Demand demand = new Demand();

        /** What each team may still use of CPUs. */
        private final Map<String, Double> remainingTeamCpus = new HashMap<>();

        private final double now;

        Projection(double now) {
            this.now = now;
            cluster.settings()
                    .deployment()
                    .teams()
                    .forEach(
                            (name, team) ->
                                    remainingTeamCpus.put(
                                            name,
                                            team.cpuLimit()
                                                    - cluster.liveAttempts().usedCpus(name)));
        }

        /** Tasks that may be alive, as far as they go on beyond the interval. */
        void addLiveAttempts() {
            for (Job job : cluster.liveAttempts().jobs()) {
                if (job.finalStatus() != null || job.isCrashLooping()) {
                    continue;
                }
                double runTime = predictions.predictRunTime(job, now);
                runTimes.put(job, runTime);
                for (Attempt attempt : cluster.liveAttempts().attemptsOf(job)) {
                    double ranS = attempt.running() ? now - attempt.runningSince() : 0;
                    double remaining = RunTimePredictor.remainingTime(runTime, ranS) - intervalS;
                    if (remaining > 0) {
                        projectedWork.add(
                                new CapacityPlanner.ProjectedWork(
                                        job.spec, remaining, attempt.machine.pool(), 1));
                    }
                    demand.add(job, ranS, now, 1);
                }
            }
        }

        /** Tasks that could begin now. */
        void addWaitingTasks() {
            for (Job job : cluster.jobs().values()) {
                job.runTimes.updateModel();
                int waiting = job.pendingTaskCount();
                if (job.finalStatus() != null || waiting == 0 || job.isCrashLooping()) {
                    continue;
                }
                double runTime =
                        runTimes.computeIfAbsent(job, j -> predictions.predictRunTime(j, now));
                int counted = takeWithinQuota(job, waiting);
                if (counted == 0) {
                    continue;
                }
                projectedWork.add(
                        new CapacityPlanner.ProjectedWork(job.spec, runTime, null, counted));
                ZoneShortage.ZoneBoundWork zoned =
                        capacitySupply.zoneBoundWork(job, runTime, counted);
                if (zoned != null) {
                    zoneBoundWork.add(zoned);
                }
                demand.add(job, 0, now, counted);
            }
        }

        /**
         * What waits for other jobs counts if these are predicted to end within the interval, as
         * far as its team's limit leaves room.
         */
        void addJobsReadySoon() {
            List<Job> awaiting =
                    cluster.jobs().values().stream()
                            .filter(
                                    job ->
                                            job.finalStatus() == null
                                                    && job.isAwaitingDependencies())
                            .toList();
            if (awaiting.isEmpty()) {
                return;
            }
            ReadinessPredictor times =
                    new ReadinessPredictor(
                            id -> predictions.unfinishedDependencies(cluster.jobs().get(id)),
                            id -> predictions.remainingTime(cluster.jobs().get(id), now));
            for (Job job : awaiting) {
                if (times.readyIn(job.spec.id()) > intervalS) {
                    continue;
                }
                int counted = takeWithinQuota(job, job.spec.tasks());
                if (counted > 0) {
                    double runTime = predictions.expectedRunTime(job);
                    projectedWork.add(
                            new CapacityPlanner.ProjectedWork(job.spec, runTime, null, counted));
                }
            }
        }

        /**
         * How many of the tasks the team's limit allows; they use it up. Tasks beyond it cannot run
         * next, and machines for them would stand idle.
         */
        private int takeWithinQuota(Job job, int tasks) {
            double most = remainingTeamCpus.getOrDefault(job.spec.team(), 0.0) / job.spec.cpus();
            int counted = (int) Math.min(tasks, Math.max(0, most));
            if (counted > 0) {
                remainingTeamCpus.merge(job.spec.team(), -counted * job.spec.cpus(), Double::sum);
            }
            return counted;
        }
    }

    /** CPUs asked for at this moment, by what they can wait for. */
    private final class Demand {
        double onDemandCpus;
        double urgentCpus;
        double deferrableCpus;
        double spotTolerantCpus;

        /**
         * Work that can wait counts by the part that it would fill of the time left for it: until
         * its class should be complete, with a reserve, and no longer than a charging unit, by
         * which WIRE counts machines.
         */
        void add(Job of, double ranS, double now, int tasks) {
            JobSpec job = of.spec;
            double cpus = tasks * job.cpus();
            if (!job.spotAllowed()) {
                onDemandCpus += cpus;
                return;
            }
            spotTolerantCpus += cpus;
            // A wait longer than any boot is met by renting when the work comes, and is no reason
            // to keep machines for it.
            if (cluster.objectives().maxWait(job.workload()) > intervalS) {
                double left =
                        RunTimePredictor.remainingTime(predictions.expectedRunTime(job), ranS);
                double age = now - of.readyAt();
                double time =
                        Math.min(
                                billingUnitS,
                                PLANNED_SHARE_OF_OBJECTIVE
                                                * cluster.objectives()
                                                        .nextFinishTime(job.workload(), age + left)
                                        - age);
                deferrableCpus += cpus * CapacityPlanner.demandWeight(left, time);
            } else {
                urgentCpus += cpus;
            }
        }
    }
}
