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
import io.pepperfield.health.LeaseRenewal;
import io.pepperfield.heartbeat.LeaderHeartbeats;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.lifecycle.DirectOrderSender;
import io.pepperfield.lifecycle.DurableState;
import io.pepperfield.lifecycle.JobTracker;
import io.pepperfield.loop.Loop;
import io.pepperfield.overview.LeaderOverview;
import io.pepperfield.peer.PartitionOrderRouter;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Keys;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leading controller, for as long as one leadership lasts: creates the parts that track jobs,
 * place tasks, rent machines and detect failures, and calls them in turn. Confined to the event
 * loop.
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
    private final JobTracker jobs;
    private final DirectOrderSender directOrders;
    private final LeaderOverview overview;
    private final ClusterState cluster;
    private final InventoryReconciler inventory;
    private final Dispatcher dispatcher;
    private final Autoscaler autoscaler;
    private final FailureDetector failureDetector;
    private final QueueCounter queueCounter;
    private final LeaderHeartbeatProcessor heartbeats;
    private final double heartbeatIntervalS;
    private final double leaseS;

    /** Loop times in seconds. */
    private final double startedAt;

    private double fencingTokenRequestedAt;
    private double bootsUpdatedAt = Double.NEGATIVE_INFINITY;

    /** Whether the machines are known well enough to decide about them. */
    private boolean acting;

    Leader(
            Loop loop,
            Settings settings,
            Leadership leadership,
            DurableState durable,
            PartitionOrderRouter workers,
            CloudProvider cloud,
            MachineTypes machineTypes,
            LeaseRenewal leaseRenewal) {
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
                new DirectOrderSender(loop, fleet, leadership, workers, storeFreshness::isFresh);
        this.jobs = createJobTracker();
        this.cluster = createClusterState();
        this.dispatcher = new Dispatcher(cluster, jobs);
        this.autoscaler = new Autoscaler(cluster);
        this.queueCounter = new QueueCounter(loop, jobs.jobs());
        this.overview =
                new LeaderOverview(cluster, dispatcher, durable.writer(), durable.jobIndex());
        this.failureDetector = new FailureDetector(cluster, dispatcher, workers, jobs);
        this.inventory =
                new InventoryReconciler(
                        loop, cloud, settings.deployment().cloudLimits(), fleet, instanceLifecycle);
        this.heartbeats =
                new LeaderHeartbeatProcessor(loop, fleet, leadership, leaseRenewal, storeFreshness);
        fleetEvents.connect(jobs, dispatcher, autoscaler, cluster.bootTracker(), queueCounter);
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
                this::wakeDispatcher);
    }

    private ClusterState createClusterState() {
        return new ClusterState(
                loop,
                settings,
                new Objectives(settings.deployment().objectives()),
                machineTypes,
                fleet,
                jobs.liveAttempts(),
                jobs.jobs(),
                instanceLifecycle,
                new BootTracker(machineTypes, settings.operators().billingUnitS()),
                new LatencyHistograms());
    }

    private void wakeDispatcher() {
        dispatcher.requestPass();
    }

    /**
     * Reads what earlier leaders have left in the replica, which must hold everything written
     * before this leadership began.
     */
    void recoverState() {
        durable.replica()
                .forEachWithPrefix(
                        Keys.RENTAL_PREFIX,
                        (key, value) ->
                                instanceLifecycle.restore(
                                        key.substring(Keys.RENTAL_PREFIX.length()), value));
        jobs.restoreAll();
        if (machineTypes.isLoaded()) {
            machineTypesReceived();
        }
        LOG.info(
                "state recovered: fencingToken={} jobs={} attempts={} instances={}",
                leadership.fencingToken(),
                jobs.jobs().size(),
                jobs.liveAttempts().size(),
                fleet.machines().size());
    }

    /** The leadership has ended: what is still answered changes nothing. */
    void stop() {
        jobs.stop();
        inventory.stop();
        instanceLifecycle.stop();
        failureDetector.stop();
        directOrders.stop();
    }

    /** The replica brought a new job or a final state. */
    void jobChanged(String id) {
        jobs.jobChanged(id);
    }

    /** Stores the machine types for controllers that cannot ask the cloud. */
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

    /** Orders under an older token are refused from now on by whoever has seen the new one. */
    void fencingTokenRenewed(FencingToken token) {
        fleet.renewFencingToken(token);
        fencingTokenRequestedAt = loop.now();
    }

    /** Counts the waiting tasks of each team, for admission. */
    void countQueuedTasks(QueueWaitPredictor queueWaits) {
        queueCounter.count(queueWaits);
    }

    /** Takes heartbeats, wherever workers have sent them. */
    LeaderHeartbeats heartbeats() {
        return heartbeats;
    }

    /** What operators see of this leadership. */
    LeaderOverview overview() {
        return overview;
    }

    /** To be called at the end of each batch of commands. */
    void flush() {
        if (acting && leadership.holdsValidLease()) {
            dispatcher.runPassIfDue();
        }
        durable.writer().flush();
        directOrders.flush();
    }

    /** To be called several times in a heartbeat interval. */
    void tick() {
        if (!leadership.holdsValidLease()) {
            return;
        }
        double now = loop.now();
        if (acting) {
            act(now);
        } else {
            acting = mayAct(now);
        }
    }

    /**
     * Whether all machines are known, or have had a heartbeat interval to make themselves known.
     */
    private boolean mayAct(double now) {
        return now - startedAt >= heartbeatIntervalS
                || fleet.machines().stream().allMatch(Machine::ready);
    }

    private void act(double now) {
        if (now - bootsUpdatedAt >= heartbeatIntervalS / 4) {
            bootsUpdatedAt = now;
            cluster.bootTracker().update(fleet, now);
        }
        if (!failureDetector.tick(now)) {
            // All of them dead at once is less likely than this controller cut off, while another
            // may reach them.
            leadership.stepDown("no worker reports here", leaseS);
            return;
        }
        renewFencingTokenIfWanted(now);
        inventory.tick(now);
        autoscaler.tick(now);
        dispatcher.tick(now);
    }

    private void renewFencingTokenIfWanted(double now) {
        if (fleet.needsNewerFencingToken() && now - fencingTokenRequestedAt >= leaseS / 4) {
            fencingTokenRequestedAt = now;
            leadership.renewFencingToken();
        }
    }
}
