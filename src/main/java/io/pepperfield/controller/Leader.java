package io.pepperfield.controller;

import io.pepperfield.admission.QueueWaitPredictor;
import io.pepperfield.autoscaling.Autoscaler;
import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.cloud.InstanceLifecycle;
import io.pepperfield.cloud.InventoryReconciler;
import io.pepperfield.cloud.MachineTypesCodec;
import io.pepperfield.cluster.BootTracker;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.cluster.LatencyHistograms;
import io.pepperfield.cluster.MachineTypes;
import io.pepperfield.config.Objectives;
import io.pepperfield.config.Settings;
import io.pepperfield.dispatch.Dispatcher;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.health.FailureDetector;
import io.pepperfield.health.LeaseRenewalPolicy;
import io.pepperfield.heartbeat.LeaderHeartbeatReceiver;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.lifecycle.DirectOrderSender;
import io.pepperfield.lifecycle.DurableState;
import io.pepperfield.lifecycle.JobTracker;
import io.pepperfield.loop.LogDuration;
import io.pepperfield.loop.Loop;
import io.pepperfield.overview.LeaderOverview;
import io.pepperfield.peer.PartitionOrderRouter;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Keys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's work during one leadership term. Creates the components that track jobs, place
 * tasks, rent machines and detect failures, and runs them in turn. Confined to the event loop.
 */
final class Leader {

    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    private final Loop loop;
    private final Settings settings;
    private final Leadership leadership;
    private final DurableState durable;
    private final MachineTypes machineTypes;
    private final Fleet fleet;
    private final InstanceLifecycle instanceLifecycle;
    private final JobTracker jobTracker;
    private final DirectOrderSender directOrders;
    private final LeaderOverview overview;
    private final ClusterState cluster;
    private final InventoryReconciler inventory;
    private final Dispatcher dispatcher;
    private final Autoscaler autoscaler;
    private final FailureDetector failureDetector;
    private final QueuedTaskCounter queuedTaskCounter;
    private final LeaderHeartbeatProcessor heartbeatProcessor;
    private final double heartbeatIntervalS;
    private final double leaseS;

    /** Loop time in seconds, as are all fields whose names end in {@code At}. */
    private final double startedAt;

    private double fencingTokenRequestedAt;
    private double bootTrackerUpdatedAt = Double.NEGATIVE_INFINITY;

    /** Whether the fleet is known completely enough for scheduling decisions. */
    private boolean schedulingEnabled;

    Leader(
            Loop loop,
            Settings settings,
            Leadership leadership,
            DurableState durable,
            PartitionOrderRouter orderRouter,
            CloudProvider cloud,
            MachineTypes machineTypes,
            LeaseRenewalPolicy leaseRenewal) {
        this.loop = loop;
        this.settings = settings;
        this.leadership = leadership;
        this.durable = durable;
        this.machineTypes = machineTypes;
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
        this.leaseS = settings.deployment().workerTimings().leaseS();
        this.startedAt = loop.now();
        this.fencingTokenRequestedAt = startedAt;
        FleetEventRouter fleetEvents = new FleetEventRouter(loop);
        this.fleet = new Fleet(fleetEvents, leadership.fencingToken(), leaseS / 2);
        this.instanceLifecycle = createInstanceLifecycle(cloud);
        StoreFreshness storeFreshness =
                new StoreFreshness(loop, durable.lastConfirmedAt(), heartbeatIntervalS);
        this.directOrders =
                new DirectOrderSender(
                        loop, fleet, leadership, orderRouter, storeFreshness::isFresh);
        this.jobTracker = createJobTracker();
        this.cluster = createClusterState();
        this.dispatcher = new Dispatcher(cluster, jobTracker);
        this.autoscaler = new Autoscaler(cluster);
        this.queuedTaskCounter = new QueuedTaskCounter(loop, jobTracker.jobs());
        this.overview =
                new LeaderOverview(cluster, dispatcher, durable.writer(), durable.jobIndex());
        this.failureDetector = new FailureDetector(cluster, dispatcher, orderRouter, jobTracker);
        this.inventory =
                new InventoryReconciler(
                        loop, cloud, settings.deployment().cloudLimits(), fleet, instanceLifecycle);
        this.heartbeatProcessor =
                new LeaderHeartbeatProcessor(loop, fleet, leadership, leaseRenewal, storeFreshness);
        fleetEvents.connect(
                jobTracker, dispatcher, autoscaler, cluster.bootTracker(), queuedTaskCounter);
    }

    private InstanceLifecycle createInstanceLifecycle(CloudProvider cloud) {
        return new InstanceLifecycle(
                loop,
                cloud,
                durable.writer(),
                fleet,
                leadership.fencingToken(),
                heartbeatIntervalS,
                settings.operators().billingUnitS(),
                leadership::holdsValidLease);
    }

    private JobTracker createJobTracker() {
        return new JobTracker(
                loop,
                settings,
                durable,
                leadership.fencingToken(),
                fleet,
                directOrders,
                this::requestDispatcherPass);
    }

    private ClusterState createClusterState() {
        return new ClusterState(
                loop,
                settings,
                new Objectives(settings.deployment().objectives()),
                machineTypes,
                fleet,
                jobTracker.liveAttempts(),
                jobTracker.jobs(),
                instanceLifecycle,
                new BootTracker(machineTypes, settings.operators().billingUnitS()),
                new LatencyHistograms());
    }

    private void requestDispatcherPass() {
        dispatcher.requestPass();
    }

    /**
     * Restores the state that earlier leaders have stored from the replica, which must contain
     * everything written before this leadership term.
     */
    void recoverState() {
        durable.replica()
                .forEachWithPrefix(
                        Keys.RENTAL_PREFIX,
                        (key, value) ->
                                instanceLifecycle.restore(
                                        key.substring(Keys.RENTAL_PREFIX.length()), value));
        jobTracker.restoreAll();
        if (machineTypes.isLoaded()) {
            machineTypesReceived();
        }
        LOG.info(
                "state recovered: fencingToken={} jobs={} attempts={} instances={}"
                        + " attemptsInUnknownZone={} storeConfirmedAgoS={}",
                leadership.fencingToken(),
                jobTracker.jobs().size(),
                jobTracker.liveAttempts().size(),
                fleet.machines().size(),
                fleet.attemptsInUnknownZone(),
                LogDuration.roundToTenths(loop.now() - durable.lastConfirmedAt().getAsDouble()));
    }

    /** Stops the components at the end of the term; they ignore responses that arrive later. */
    void stop() {
        jobTracker.stop();
        inventory.stop();
        instanceLifecycle.stop();
        failureDetector.stop();
        directOrders.stop();
    }

    /** Handles a replica change that added a job or a job's final state. */
    void jobChanged(String id) {
        jobTracker.jobChanged(id);
    }

    /** Stores the machine types for controllers that cannot reach the cloud provider. */
    void machineTypesReceived() {
        boolean stored =
                durable.replica()
                        .find(Keys.MACHINE_TYPES)
                        .map(entry -> MachineTypesCodec.decode(entry.value()))
                        .filter(machineTypes::equalsIgnoringPrices)
                        .isPresent();
        if (!stored) {
            durable.writer()
                    .enqueue(
                            Keys.MACHINE_TYPES,
                            FencedWriter.Priority.BACKGROUND,
                            () -> MachineTypesCodec.encode(machineTypes.all()));
        }
    }

    /**
     * Applies a renewed fencing token. Machines that have seen it refuse orders with an older
     * token.
     */
    void fencingTokenRenewed(FencingToken token) {
        fleet.renewFencingToken(token);
        fencingTokenRequestedAt = loop.now();
    }

    /** Counts the queued tasks of each team for admission. */
    void countQueuedTasks(QueueWaitPredictor queueWaitPredictor) {
        queuedTaskCounter.count(queueWaitPredictor);
    }

    /**
     * Returns the processor of heartbeats, both received here and forwarded by other controllers.
     */
    LeaderHeartbeatReceiver heartbeatProcessor() {
        return heartbeatProcessor;
    }

    /** Returns the number of planned starts that the last check before the order has refused. */
    int refusedStartCount() {
        return fleet.refusedStartCount();
    }

    /** Returns the overview of this leadership term for operators. */
    LeaderOverview overview() {
        return overview;
    }

    /** Must be called at the end of each batch of commands. */
    void flush() {
        if (schedulingEnabled && leadership.holdsValidLease()) {
            dispatcher.runPassIfDue();
        }
        durable.writer().flush();
        directOrders.flush();
    }

    /** Must be called several times per heartbeat interval. */
    void tick() {
        if (!leadership.holdsValidLease()) {
            return;
        }
        double now = loop.now();
        if (schedulingEnabled) {
            runPeriodicTasks(now);
        } else {
            if (fleet.attemptsInUnknownZone() > 0) {
                inventory.tick(now);
            }
            schedulingEnabled = isFleetKnown(now);
            if (schedulingEnabled) {
                logFleetKnown(now);
            }
        }
    }

    private void logFleetKnown(double now) {
        LOG.info(
                "scheduling enabled: fencingToken={} sinceElectionS={} instances={} unheard={}"
                        + " attemptsInUnknownZone={}",
                leadership.fencingToken(),
                LogDuration.roundToTenths(now - startedAt),
                fleet.machines().size(),
                fleet.machines().stream().filter(machine -> !machine.ready()).count(),
                fleet.attemptsInUnknownZone());
    }

    /**
     * Returns whether every machine has sent a heartbeat, or has had one heartbeat interval to do
     * so.
     */
    private boolean isFleetKnown(double now) {
        return now - startedAt >= heartbeatIntervalS
                || fleet.machines().stream().allMatch(Machine::ready);
    }

    private void runPeriodicTasks(double now) {
        if (now - bootTrackerUpdatedAt >= heartbeatIntervalS / 4) {
            bootTrackerUpdatedAt = now;
            cluster.bootTracker().update(fleet, now);
        }
        if (!failureDetector.tick(now)) {
            // It is less likely that all machines have failed at once than that this controller is
            // disconnected, and another controller may still reach them.
            leadership.stepDown("no worker's heartbeats reach this controller", leaseS);
            return;
        }
        renewFencingTokenIfNeeded(now);
        inventory.tick(now);
        autoscaler.tick(now);
        dispatcher.tick(now);
    }

    private void renewFencingTokenIfNeeded(double now) {
        if (fleet.needsNewerFencingToken() && now - fencingTokenRequestedAt >= leaseS / 4) {
            fencingTokenRequestedAt = now;
            leadership.renewFencingToken();
        }
    }
}
