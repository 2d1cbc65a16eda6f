package io.pepperfield.autoscaling;

import io.pepperfield.capacity.CapacityPlanner;
import io.pepperfield.capacity.CapacityPlanner.ExpectedDemand;
import io.pepperfield.capacity.CapacityPlanner.PoolOffer;
import io.pepperfield.capacity.DemandWindow;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.capacity.ZoneShortage;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.config.OperatorSettings;
import io.pepperfield.jobs.Job;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The control loop of WIRE (Xie et al., "WIRE: Resource-efficient Scaling with Online Prediction
 * for DAG-based Workflows"): projects the load of the next interval, rents what is short and
 * releases what is surplus. Belongs to one term; used on the owner thread only.
 */
public final class Autoscaler {

    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);

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
        predictions.recordRunTime(job, ranS);
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
        // WIRE's interval: what is rented now is ready when the next one begins.
        intervalS = cluster.bootTracker().longestBootTime();
        CurrentDemand demand =
                new CurrentDemand(cluster, predictions, intervalS, billingUnitS, now);
        WorkloadProjection projection =
                WorkloadProjection.of(cluster, predictions, capacitySupply, demand, intervalS, now);
        recordDemand(demand, now);
        List<PoolOffer> offers = capacitySupply.offers(now);
        Map<InstancePool, Integer> targets = targetMachineCounts(projection, demand, offers);
        // What is asked for at this moment is no surplus, whatever was asked for of late; and a new
        // leader has not seen what came and went in the time that a boot takes.
        Map<InstancePool, Integer> needed =
                CapacityPlanner.machinesForDemand(
                        offers,
                        new ExpectedDemand(demand.onDemandCpus(), demand.spotTolerantCpus()));
        logPlan(demand, targets, offers);
        Map<InstancePool, Map<String, Integer>> shortages = zoneShortages(projection, offers, now);
        for (PoolOffer offer : offers) {
            InstancePool pool = offer.pool();
            int target = targets.getOrDefault(pool, 0);
            Map<String, Integer> shortage = shortages.getOrDefault(pool, Map.of());
            scaleOut(offer, target, shortage);
            scaleIn(offer, Math.max(target, needed.get(pool)), shortage.keySet(), now);
        }
    }

    private void recordDemand(CurrentDemand demand, double now) {
        onDemandWindow.add(now, demand.onDemandCpus());
        urgentWindow.add(now, demand.urgentCpus());
        deferrableWindow.add(now, demand.deferrableCpus());
    }

    private static void logPlan(
            CurrentDemand demand, Map<InstancePool, Integer> targets, List<PoolOffer> offers) {
        LOG.debug(
                "capacity planned: onDemandCpus={} urgentCpus={} deferrableCpus={} targets={}"
                        + " offers={}",
                demand.onDemandCpus(),
                demand.urgentCpus(),
                demand.deferrableCpus(),
                targets,
                offers);
    }

    /** WIRE's counts, together with those for work that recent demand lets expect. */
    private Map<InstancePool, Integer> targetMachineCounts(
            WorkloadProjection projection, CurrentDemand demand, List<PoolOffer> offers) {
        OperatorSettings operators = cluster.settings().operators();
        // The median of a rising demand lags half a unit behind, and a boot comes on top: what
        // waits now counts as it is.
        double deferrableCpus =
                Math.max(
                        demand.deferrableCpus(),
                        deferrableWindow.quantile(operators.steadyQuantile()));
        return CapacityPlanner.targetMachineCounts(
                offers,
                projection.projectedWork(),
                new ExpectedDemand(
                        onDemandWindow.quantile(operators.headroomQuantile()),
                        urgentWindow.quantile(operators.headroomQuantile()) + deferrableCpus),
                billingUnitS,
                operators.partialMachineShare());
    }

    /** The machines that single zones lack for work that may go nowhere else. */
    private Map<InstancePool, Map<String, Integer>> zoneShortages(
            WorkloadProjection projection, List<PoolOffer> offers, double now) {
        if (projection.zoneBoundWork().isEmpty()) {
            return Map.of();
        }
        return ZoneShortage.missingMachines(
                projection.zoneBoundWork(),
                capacitySupply.availableMachines(projection.runTimes(), intervalS, now),
                capacitySupply.zoneOffers(offers),
                billingUnitS,
                cluster.settings().operators().partialMachineShare());
    }

    private void scaleOut(PoolOffer offer, int target, Map<String, Integer> shortage) {
        int missingInZones = shortage.values().stream().mapToInt(Integer::intValue).sum();
        int missing = Math.max(target - offer.machineCount(), missingInZones);
        if (missing > 0) {
            poolScaler.scaleOut(offer.pool(), missing, shortage);
        }
    }

    /**
     * Releases a surplus that has lasted for the time of a boot: to rent again costs one, so that
     * an earlier release would not pay.
     */
    private void scaleIn(PoolOffer offer, int wantedNow, Set<String> shortZones, double now) {
        DemandWindow wanted =
                targetWindows.computeIfAbsent(
                        offer.pool(),
                        pool -> new DemandWindow(cluster.machineTypes().get(pool.type()).bootS()));
        wanted.add(now, wantedNow);
        int mostWanted = (int) wanted.quantile(1);
        boolean observedForInterval = now - startedAt >= intervalS;
        if (observedForInterval && mostWanted < offer.machineCount()) {
            int surplus = offer.machineCount() - mostWanted;
            poolScaler.scaleIn(offer.pool(), surplus, shortZones, intervalS, now);
        }
    }
}
