package io.pepperfield.controller;

import io.pepperfield.admission.QueueWaitPredictor;
import io.pepperfield.autoscaling.Autoscaler;
import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.cloud.InstanceLifecycle;
import io.pepperfield.cloud.InventoryReconciler;
import io.pepperfield.cloud.MachineTypesRecord;
import io.pepperfield.cluster.BootTracker;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.cluster.LatencyHistograms;
import io.pepperfield.cluster.MachineTypes;
import io.pepperfield.config.Objectives;
import io.pepperfield.config.Settings;
import io.pepperfield.dispatch.Dispatcher;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.health.FailureDetector;
import io.pepperfield.health.LeaseRenewal;
import io.pepperfield.heartbeat.LeaderHeartbeats;
import io.pepperfield.jobs.Job;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.lifecycle.DirectOrders;
import io.pepperfield.lifecycle.DurableState;
import io.pepperfield.lifecycle.JobTracker;
import io.pepperfield.loop.Loop;
import io.pepperfield.overview.LeaderOverview;
import io.pepperfield.peer.PartitionOrderRouter;
import io.pepperfield.peer.PeerMessages;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leading controller, for as long as one leadership lasts: what runs where, and what is rented.
 */
public final class Leader implements Fleet.Listener, LeaderHeartbeats {

    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    /** Of a report period: how old the state service's last answer may be for starts. */
    private static final double FRESH_INTERVALS = 0.8;

    private final Loop loop;
    private final Settings settings;
    private final Leadership leadership;
    private final DurableState durable;
    private final MachineTypes machineTypes;
    private final LeaseRenewal leaseRenewal;
    private final Fleet fleet;
    private final InstanceLifecycle instanceLifecycle;
    private final JobTracker jobs;
    private final DirectOrders directOrders;
    private final LeaderOverview overview;
    private final ClusterState cluster;
    private final InventoryReconciler inventory;
    private final Dispatcher dispatcher;
    private final Autoscaler autoscaler;
    private final FailureDetector failureDetector;
    private final double heartbeatIntervalS;
    private final double leaseS;
    private final double startedAt;
    private double fencingTokenRequestedAt;
    private double bootsUpdatedAt = Double.NEGATIVE_INFINITY;
    private boolean acting;

    /** Null where admission is switched off, and before its first count. */
    private QueueWaitPredictor queueWaits;

    Leader(
            Loop loop,
            Settings settings,
            Leadership leadership,
            DurableState durable,
            PartitionOrderRouter workers,
            CloudProvider cloud,
            MachineTypes types,
            LeaseRenewal renewal) {
        this.loop = loop;
        this.settings = settings;
        this.leadership = leadership;
        this.durable = durable;
        this.machineTypes = types;
        this.leaseRenewal = renewal;
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
        this.leaseS = settings.deployment().workerTimings().leaseS();
        this.startedAt = loop.now();
        this.fencingTokenRequestedAt = startedAt;
        this.fleet = new Fleet(this, leadership.fencingToken(), leaseS / 2);
        this.instanceLifecycle = instanceLifecycle(cloud);
        this.directOrders =
                new DirectOrders(loop, fleet, leadership, workers, () -> isStateFresh(loop.now()));
        this.jobs =
                new JobTracker(
                        loop,
                        settings,
                        durable,
                        leadership.fencingToken(),
                        fleet,
                        directOrders,
                        this::wakeDispatcher);
        this.cluster = clusterState();
        this.dispatcher = new Dispatcher(cluster, jobs);
        this.autoscaler = new Autoscaler(cluster);
        this.overview =
                new LeaderOverview(cluster, dispatcher, durable.writer(), durable.jobIndex());
        this.failureDetector = new FailureDetector(cluster, dispatcher, workers, jobs);
        this.inventory =
                new InventoryReconciler(
                        loop, cloud, settings.deployment().cloudLimits(), fleet, instanceLifecycle);
    }

    private InstanceLifecycle instanceLifecycle(CloudProvider cloud) {
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

    private ClusterState clusterState() {
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
                        (key, data) ->
                                instanceLifecycle.restore(
                                        key.substring(Keys.RENTAL_PREFIX.length()), data));
        jobs.restoreAll();
        if (machineTypes.known()) {
            machineTypesReceived();
        }
        LOG.info(
                "taking over {} jobs, {} attempts, {} machines",
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

    /** Keeps the types where a controller that cannot ask the cloud finds them. */
    void machineTypesReceived() {
        Replica.Entry known = durable.replica().get(Keys.MACHINE_TYPES);
        if (known == null
                || !machineTypes.equalsIgnoringPrices(MachineTypesRecord.decode(known.value()))) {
            durable.writer()
                    .enqueue(
                            Keys.MACHINE_TYPES,
                            FencedWriter.Priority.BACKGROUND,
                            () -> MachineTypesRecord.encode(machineTypes.all()),
                            null,
                            null);
        }
    }

    /**
     * The token was minted anew; orders under the one before are refused by whoever has seen it.
     */
    void fencingTokenRenewed(FencingToken token) {
        fleet.renewFencingToken(token);
        fencingTokenRequestedAt = loop.now();
    }

    // ---- reports

    @Override
    public List<Order> acceptHeartbeat(Heartbeat report, String through) {
        double now = loop.now();
        fleet.suspendStarts(!isStateFresh(now));
        List<Order> orders = fleet.handleHeartbeat(report, now).orElse(null);
        if (orders == null) {
            return null;
        }
        Machine machine = fleet.get(report.machine());
        machine.setReportingController(through);
        return leaseRenewal.mayRenew(cancellationWatermark(machine), now) ? orders : null;
    }

    /**
     * Up to when all cancellations are settled on a machine whose report is being answered. A run
     * order on its way, whose job was cancelled since, could begin after the last stop that this
     * leader can give.
     */
    private double cancellationWatermark(Machine machine) {
        return fleet.cancelledAttemptsThatMayStart(machine).stream()
                .mapToDouble(attempt -> attempt.job.lastKnownOpenAt())
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /**
     * Whether the state service has answered of late: a follow is held for half a period, and as
     * much again is not the ordinary case.
     */
    private boolean isStateFresh(double now) {
        return now - durable.lastConfirmedAt().getAsDouble() < FRESH_INTERVALS * heartbeatIntervalS;
    }

    @Override
    public PeerMessages.LeaderVerdict acceptForwardedHeartbeat(
            PeerMessages.ForwardedHeartbeat beat, String through) {
        Heartbeat report = fullHeartbeat(beat);
        if (report == null) {
            return new PeerMessages.LeaderVerdict.FullHeartbeatRequired();
        }
        if (report.fencingToken().isNewerThan(leadership.fencingToken())) {
            leadership.observeFencingToken(report.fencingToken());
            return new PeerMessages.LeaderVerdict.Refused();
        }
        List<Order> orders = acceptHeartbeat(report, through);
        if (orders == null) {
            return new PeerMessages.LeaderVerdict.Refused();
        }
        return new PeerMessages.LeaderVerdict.Orders(WorkerProtocol.encodeOrders(orders));
    }

    /** The report itself, or null where it only names one before that is not known here. */
    private Heartbeat fullHeartbeat(PeerMessages.ForwardedHeartbeat beat) {
        if (beat instanceof PeerMessages.ForwardedHeartbeat.Repeated same) {
            return fleet.expandRepeatedHeartbeat(
                            same.machine(),
                            same.incarnation(),
                            same.baseSerial(),
                            same.serial(),
                            same.fencingToken())
                    .orElse(null);
        }
        return ((PeerMessages.ForwardedHeartbeat.Full) beat).heartbeat();
    }

    @Override
    public void directOrderReplyReceived(Heartbeat report) {
        fleet.handleDirectResponse(report, loop.now());
    }

    @Override
    public void restoreCachedHeartbeat(PeerMessages.CachedHeartbeat kept) {
        fleet.handleCachedHeartbeat(kept.heartbeat(), loop.now() - kept.ageS());
    }

    /** Counts what waits of each team, for admission. */
    void countQueuedTasks(QueueWaitPredictor queues) {
        queueWaits = queues;
        double now = loop.now();
        queues.beginRecount();
        for (Job job : jobs.jobs().values()) {
            // What waits for other jobs, or fails wherever it is tried, says nothing about the
            // queue.
            if (job.finalStatus() == null
                    && !job.isAwaitingDependencies()
                    && !job.isCrashLooping()) {
                int waiting = job.pendingTaskCount();
                if (waiting > 0) {
                    queues.addWaiting(
                            job.spec.team(),
                            job.effectiveSpec().priority(),
                            waiting,
                            now - job.readyAt());
                }
            }
        }
        queues.finishRecount(now);
    }

    // ---- events in the fleet

    @Override
    public void attemptStarted(Attempt attempt) {
        if (queueWaits != null) {
            queueWaits.recordStart(attempt.job.spec.team(), attempt.job.effectiveSpec().priority());
        }
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "{} ({}) attempt {} runs on {}: {} s after its intent, {} s after its submission",
                    attempt.taskRef,
                    attempt.job.spec.workload(),
                    attempt.number,
                    attempt.machine.name,
                    tenths(loop.now() - attempt.intendedAt),
                    tenths(loop.now() - attempt.job.readyAt()));
        }
    }

    private static double tenths(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }

    @Override
    public void attemptCompleted(Attempt attempt, double ranS) {
        if (jobs.attemptCompleted(attempt) && ranS > 0) {
            autoscaler.taskFinished(attempt.job, ranS);
        }
    }

    @Override
    public void attemptGone(Attempt attempt, Heartbeat.Cause cause) {
        jobs.attemptGone(attempt, cause);
    }

    @Override
    public void machineAppeared(Machine machine) {
        // A line for each machine of a large fleet would fill the log at every take-over.
        LOG.debug(
                "{} reports, {} s after its rental",
                machine.describe(),
                Math.round(loop.now() - machine.rentedAt()));
        // One from before this leader may have been up for long already.
        if (!machine.ready() && machine.rentedAt() >= startedAt) {
            cluster.bootTracker().machineBooted(machine, loop.now());
        }
        dispatcher.requestPass();
    }

    // ---- the rounds

    /** At the end of each batch of commands. */
    void flush() {
        if (acting && leadership.holdsValidLease()) {
            dispatcher.runPassIfDue();
        }
        durable.writer().flush();
        directOrders.flush();
    }

    /** To be called several times in a report period. */
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
     * Whether all machines are known, or have had the time of a report to make themselves known.
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
            // All of them dead at once is less likely than this node cut off, while another may
            // reach them.
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

    /** What operators see of this leadership. */
    LeaderOverview overview() {
        return overview;
    }
}
