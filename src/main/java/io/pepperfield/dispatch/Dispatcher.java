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
 * Runs the leader's scheduling passes: decides when a pass is due, plans it and executes the plan.
 * Confined to the event loop.
 */
public final class Dispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);

    /**
     * Maximum fraction of the process's time spent in passes; changes that arrive before the next
     * pass is due are batched into it.
     */
    private static final double MAX_PASS_TIME_FRACTION = 0.2;

    /** Minimum time between the starts of two passes, in heartbeat intervals. */
    private static final double MIN_PASS_INTERVALS = 1 / 50.0;

    /** Executes the decisions of a pass. */
    public interface AttemptControl {
        /** Persists the intent of an attempt and starts the attempt once the intent is durable. */
        void start(Job job, int task, Machine machine);

        /** Stops an attempt; {@code gracePeriodS} is the time in seconds to save a checkpoint. */
        void stop(Attempt attempt, double gracePeriodS);
    }

    private final ClusterState cluster;
    private final AttemptControl attemptControl;
    private final CapacityReservations reservations = new CapacityReservations();

    private boolean passRequested = true;
    private double lastPassAt = Double.NEGATIVE_INFINITY;
    private double nextPassAt = Double.NEGATIVE_INFINITY;

    /** Creates the dispatcher for one leadership term. */
    public Dispatcher(ClusterState cluster, AttemptControl attemptControl) {
        this.cluster = cluster;
        this.attemptControl = attemptControl;
    }

    /** Requests a pass, after a change that may allow a task to start. */
    public void requestPass() {
        passRequested = true;
    }

    /**
     * Requests a pass if the last one is a heartbeat interval ago. Must be called several times per
     * heartbeat interval.
     *
     * @param now loop time in seconds
     */
    public void tick(double now) {
        passRequested |= now - lastPassAt >= cluster.heartbeatIntervalS();
    }

    /** Runs a pass if one is due. Must be called at the end of each batch of commands. */
    public void runPassIfDue() {
        double now = cluster.loop().now();
        if (!passRequested || now < nextPassAt || !cluster.machineTypes().isLoaded()) {
            return;
        }
        passRequested = false;
        lastPassAt = now;
        runPass(now);
        // Limits the share of passes over a large fleet, regardless of the number of requests, to
        // leave time for heartbeats and replies.
        double passS = cluster.loop().now() - now;
        cluster.passDurations().record("placing", passS);
        nextPassAt =
                now
                        + Math.max(
                                MIN_PASS_INTERVALS * cluster.heartbeatIntervalS(),
                                passS / MAX_PASS_TIME_FRACTION);
    }

    private void runPass(double now) {
        List<PlacementRequest> requests = pendingRequests(now);
        if (!requests.isEmpty()) {
            execute(DispatchPlanner.plan(new ClusterView(cluster, now), requests), now);
        }
    }

    private void execute(DispatchPlan plan, double now) {
        for (DispatchPlan.Action action : plan.actions()) {
            if (action instanceof DispatchPlan.Start start) {
                attemptControl.start(start.job(), start.job().nextPendingTask(), start.machine());
            } else if (action instanceof DispatchPlan.Preempt preempt) {
                preempt(preempt.attempt());
            }
        }
        // Lasts until heartbeats report the stops. Without the reservation, jobs ahead in the queue
        // would take the freed capacity.
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
        // No grace period: saving a checkpoint would delay the job that needs the capacity.
        attemptControl.stop(attempt, 0);
    }

    /** Returns the pending placement requests, oldest job first. */
    public List<PlacementRequest> pendingRequests(double now) {
        reservations.removeExpired(now);
        return new PendingRequests(cluster, reservations, now).build();
    }

    /**
     * Returns whether all replicas of services on a machine that is to be released can be placed on
     * other machines now, with preemption if necessary.
     */
    public boolean canRelocateReplicas(Machine machine, double now) {
        return new ReplicaRelocation(new ClusterView(cluster, now), machine).isPossible();
    }
}
