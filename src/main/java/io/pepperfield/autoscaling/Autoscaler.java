package io.pepperfield.autoscaling;

import io.pepperfield.capacity.CapacityPlanner;
import io.pepperfield.capacity.CapacityPlanner.ExpectedDemand;
import io.pepperfield.capacity.CapacityPlanner.PoolOffer;
import io.pepperfield.capacity.DemandWindow;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.capacity.PlacementShortage;
import io.pepperfield.capacity.PlacementShortage.PoolShortage;
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
 * for DAG-based Workflows"): projects the load of the next interval, rents missing machines and
 * releases surplus ones. Created for one term; confined to the event loop.
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

    /** Records the run time in seconds of a completed task. */
    public void taskFinished(Job job, double runTimeS) {
        predictions.recordRunTime(job, runTimeS);
    }

    /** Runs the control loop if it is due. Must be called several times per heartbeat interval. */
    public void tick(double now) {
        if (now - lastRunAt >= cluster.heartbeatIntervalS() / 2
                && cluster.machineTypes().isLoaded()) {
            lastRunAt = now;
            adjustCapacity(now);
            cluster.passDurations().record("sizing", cluster.loop().now() - now);
        }
    }

    private void adjustCapacity(double now) {
        // WIRE's interval is the longest boot time, so that machines rented now are ready when the
        // next interval begins.
        intervalS = cluster.bootTracker().longestBootTime();
        CurrentDemand demand =
                new CurrentDemand(cluster, predictions, intervalS, billingUnitS, now);
        WorkloadProjection projection =
                WorkloadProjection.of(cluster, predictions, capacitySupply, demand, intervalS, now);
        recordDemand(demand, now);
        List<PoolOffer> offers = capacitySupply.offers(now);
        Map<InstancePool, Integer> targets = targetMachineCounts(projection, demand, offers);
        // Capacity for the current demand is never surplus, even if recent demand was lower. A new
        // leader also lacks the demand history of the last boot time.
        Map<InstancePool, Integer> currentlyRequired =
                CapacityPlanner.machinesForDemand(
                        offers,
                        new ExpectedDemand(demand.onDemandCpus(), demand.spotTolerantCpus()));
        logPlan(demand, targets, offers);
        Map<InstancePool, PoolShortage> shortages = placementShortages(projection, offers, now);
        for (PoolOffer offer : offers) {
            InstancePool pool = offer.pool();
            int target = targets.getOrDefault(pool, 0);
            PoolShortage shortage = shortages.getOrDefault(pool, PoolShortage.NONE);
            scaleOut(offer, target, shortage);
            scaleIn(
                    offer,
                    Math.max(target, currentlyRequired.get(pool)),
                    shortage.byZone().keySet(),
                    now);
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

    /**
     * Returns WIRE's machine counts, raised to the counts for the demand expected from recent
     * samples.
     */
    private Map<InstancePool, Integer> targetMachineCounts(
            WorkloadProjection projection, CurrentDemand demand, List<PoolOffer> offers) {
        OperatorSettings operators = cluster.settings().operators();
        // The median of rising demand lags by half a billing unit, and booting adds a further
        // delay. The current deferrable demand is therefore the minimum.
        double deferrableCpus =
                Math.max(
                        demand.deferrableCpus(),
                        deferrableWindow.quantile(operators.deferrableQuantile()));
        return CapacityPlanner.targetMachineCounts(
                offers,
                projection.projectedWork(),
                new ExpectedDemand(
                        onDemandWindow.quantile(operators.headroomQuantile()),
                        urgentWindow.quantile(operators.headroomQuantile()) + deferrableCpus),
                billingUnitS,
                operators.partialMachineShare());
    }

    /** Returns the machines missing for work that may not run on every machine of its pools. */
    private Map<InstancePool, PoolShortage> placementShortages(
            WorkloadProjection projection, List<PoolOffer> offers, double now) {
        if (projection.restrictedWork().isEmpty()) {
            return Map.of();
        }
        return PlacementShortage.missingMachines(
                projection.restrictedWork(),
                capacitySupply.availableMachines(projection.runTimes(), intervalS, now),
                capacitySupply.zoneOffers(offers),
                billingUnitS,
                cluster.settings().operators().partialMachineShare());
    }

    private void scaleOut(PoolOffer offer, int target, PoolShortage shortage) {
        int missing = Math.max(target - offer.machineCount(), shortage.total());
        if (missing > 0) {
            poolScaler.scaleOut(offer.pool(), missing, shortage.byZone());
        }
    }

    /**
     * Releases a surplus that has lasted for one boot time. Renting a replacement costs a boot, so
     * an earlier release would not pay off.
     */
    private void scaleIn(PoolOffer offer, int requiredCount, Set<String> shortZones, double now) {
        DemandWindow requiredCounts =
                targetWindows.computeIfAbsent(
                        offer.pool(),
                        pool -> new DemandWindow(cluster.machineTypes().get(pool.type()).bootS()));
        requiredCounts.add(now, requiredCount);
        int maxRequiredCount = (int) requiredCounts.quantile(1);
        boolean observedForInterval = now - startedAt >= intervalS;
        if (observedForInterval && maxRequiredCount < offer.machineCount()) {
            int surplus = offer.machineCount() - maxRequiredCount;
            poolScaler.scaleIn(offer.pool(), surplus, shortZones, intervalS, now);
        }
    }
}
