package io.pepperfield.dispatch;

import io.pepperfield.cluster.ClusterState;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.jobs.Job;
import io.pepperfield.placement.PlacementRequest;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the leader's scheduling passes: decides when one is due, has it planned and carries the plan
 * out. Confined to the event loop.
 */
public final class Dispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);

    /**
     * Part of this process's time that passes may take; what comes meanwhile waits for the next
     * pass.
     */
    private static final double MAX_BUSY_FRACTION = 0.2;

    /** Of a heartbeat interval: the shortest time between the beginnings of two passes. */
    private static final double MIN_PASS_INTERVALS = 1 / 50.0;

    /** Carries out what a pass has decided. */
    public interface AttemptControl {
        /** Writes the intent of an attempt and starts it once the intent is durable. */
        void start(Job job, int task, Machine machine);

        /** Stops an attempt; it may take that many seconds to save a checkpoint. */
        void stop(Attempt attempt, double gracePeriodS);
    }

    private final ClusterState cluster;
    private final AttemptControl attemptControl;
    private final CapacityReservations reservations = new CapacityReservations();

    private boolean passRequested = true;
    private double lastPassAt = Double.NEGATIVE_INFINITY;
    private double nextPassAt = Double.NEGATIVE_INFINITY;

    /** Creates the dispatcher of one term. */
    public Dispatcher(ClusterState cluster, AttemptControl attemptControl) {
        this.cluster = cluster;
        this.attemptControl = attemptControl;
    }

    /** Something has changed that may let a task start. */
    public void requestPass() {
        passRequested = true;
    }

    /** To be called several times in a heartbeat interval; {@code now} is loop time in seconds. */
    public void tick(double now) {
        passRequested |= now - lastPassAt >= cluster.heartbeatIntervalS();
    }

    /** To be called at the end of each batch of commands. */
    public void runPassIfDue() {
        double now = cluster.loop().now();
        if (!passRequested || now < nextPassAt || !cluster.machineTypes().known()) {
            return;
        }
        passRequested = false;
        lastPassAt = now;
        runPass(now);
        // A pass over a large fleet must leave time for heartbeats and answers, whatever there is
        // to place.
        double passS = cluster.loop().now() - now;
        cluster.passDurations().record("placing", passS);
        nextPassAt =
                now
                        + Math.max(
                                MIN_PASS_INTERVALS * cluster.heartbeatIntervalS(),
                                passS / MAX_BUSY_FRACTION);
    }

    private void runPass(double now) {
        List<PlacementRequest> requests = pendingRequests(now);
        if (!requests.isEmpty()) {
            carryOut(DispatchPlanner.plan(new ClusterView(cluster, now), requests), now);
        }
    }

    private void carryOut(DispatchPlan plan, double now) {
        for (DispatchPlan.Action action : plan.actions()) {
            if (action instanceof DispatchPlan.Start start) {
                attemptControl.start(start.job(), start.job().nextPendingTask(), start.machine());
            } else if (action instanceof DispatchPlan.Preempt preempt) {
                preempt(preempt.attempt());
            }
        }
        // For as long as a stop takes to show; else what was stopped would only have made way for
        // those in front.
        double reservedUntil = now + cluster.heartbeatIntervalS();
        plan.preemptingJobs().forEach(job -> reservations.reserveForJob(job, reservedUntil));
    }

    private void preempt(Attempt attempt) {
        LOG.debug(
                "preempting task={} attempt={} instance={}",
                attempt.taskRef,
                attempt.number,
                attempt.machine.name);
        reservations.reserveMachine(
                attempt.machine.name, cluster.loop().now() + cluster.heartbeatIntervalS());
        // At once: to save first would hold up what it is stopped for.
        attemptControl.stop(attempt, 0);
    }

    /** What waits to be placed now, oldest job first. */
    public List<PlacementRequest> pendingRequests(double now) {
        reservations.removeExpired(now);
        return new PendingRequests(cluster, reservations, now).build();
    }

    /**
     * Whether all replicas of services on a machine that is to be given up would find machines
     * elsewhere now, if need be by preemption.
     */
    public boolean canRelocateReplicas(Machine machine, double now) {
        return new ReplicaRelocation(new ClusterView(cluster, now), machine).isPossible();
    }
}
