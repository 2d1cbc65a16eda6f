package io.pepperfield.health;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Order;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.JobRecord;
import io.pepperfield.jobs.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;

/**
 * Decides whether a machine's lease may be renewed. Invariant: every answer that renews a lease is
 * based on a cancellation watermark, the loop time up to which all cancellations are settled on
 * that machine, so that after the worker has carried out the answer's orders no task of a job
 * cancelled by then is running on the machine or can start there. The lease expires before the
 * watermark plus the cancellation deadline; tasks of jobs cancelled after the watermark therefore
 * end in time without a stop order.
 *
 * <p>The watermark is always the time at which a request was sent that the store answered to the
 * controller whose replica the answer is based on. A refused request, a renewed grant or a peer's
 * report of an outage does not advance it. Confined to the event loop.
 */
public final class LeaseRenewalPolicy {

    private final Settings.WorkerTimings timings;
    private final JobIndex jobIndex;
    private final DoubleSupplier lastConfirmedAt;

    /**
     * @param lastConfirmedAt loop time at which this controller sent its latest request that the
     *     store answered with all changes up to then
     */
    public LeaseRenewalPolicy(
            Settings.WorkerTimings timings, JobIndex jobIndex, DoubleSupplier lastConfirmedAt) {
        this.timings = timings;
        this.jobIndex = jobIndex;
        this.lastConfirmedAt = lastConfirmedAt;
    }

    /**
     * Whether a lease may be renewed if all cancellations are settled up to the watermark. Includes
     * a margin for the clock drift between controller and worker.
     */
    public boolean mayRenew(double cancellationWatermark, double now) {
        double marginS = timings.cancellationDeadlineS() / 500 + timings.heartbeatIntervalS() / 8;
        return now
                <= cancellationWatermark
                        + timings.cancellationDeadlineS()
                        - timings.leaseS()
                        - marginS;
    }

    /**
     * Returns the watermark according to this controller's own replica, for use while no leader
     * answers. Attempts of cancelled jobs that the heartbeat reports are stopped by the answer
     * itself. For an attempt that it does not report, a run order may still be in flight. A run
     * order is sent only after its intent is durable, and no intent becomes durable once its job is
     * cancelled; so either the replica has the intent, or the job was not cancelled as of this
     * replica. If it has the intent, the watermark is the time at which the job was last known to
     * be open.
     */
    public double localCancellationWatermark(Heartbeat heartbeat) {
        return Math.min(
                lastConfirmedAt.getAsDouble(),
                jobIndex.noCancellationsBefore(
                        heartbeat.machine(),
                        attempt ->
                                reportsAttempt(
                                        heartbeat, attempt.taskId(), attempt.attemptNumber())));
    }

    private static boolean reportsAttempt(Heartbeat heartbeat, String task, int attemptNumber) {
        return heartbeat.attempts().stream()
                .anyMatch(
                        status ->
                                status.taskRef().toString().equals(task)
                                        && status.attemptNumber() == attemptNumber);
    }

    /**
     * Returns stop orders for the attempts in the heartbeat whose jobs are known to be cancelled.
     * They are valid under any fencing token, since a cancellation is final.
     */
    public List<Order> stopOrdersForCancelledJobs(Heartbeat heartbeat) {
        List<Order> stops = new ArrayList<>();
        for (Heartbeat.AttemptStatus status : heartbeat.attempts()) {
            JobRecord job = jobIndex.get(status.taskRef().job());
            if (status.state() != Heartbeat.State.ENDED
                    && job != null
                    && job.finalStatus() == Status.CANCELLED) {
                stops.add(new Order.Stop(status.taskRef(), status.attemptNumber(), 0));
            }
        }
        return stops;
    }
}
