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
 * How long a machine's lease may be renewed. The invariant: every answer that renews a lease rests
 * on a cancellation watermark, a loop time up to which all cancellations are settled on that
 * machine: none of their tasks can be there once the answer has been carried out, and none can
 * begin there any more. The lease then expires before the watermark plus the deadline for
 * cancellations. What is cancelled after the watermark thus ends in time without any order.
 *
 * <p>The watermark is always the sending time of a request that the store answered to the
 * controller on whose knowledge the answer rests: neither a refusal nor a renewed grant nor a
 * peer's report of an outage moves it. Confined to the event loop.
 */
public final class LeaseRenewalPolicy {

    private final Settings.WorkerTimings timings;
    private final JobIndex jobIndex;
    private final DoubleSupplier lastConfirmedAt;

    /**
     * @param lastConfirmedAt loop time at which this controller's last request was sent that was
     *     answered with all changes up to then
     */
    public LeaseRenewalPolicy(
            Settings.WorkerTimings timings, JobIndex jobIndex, DoubleSupplier lastConfirmedAt) {
        this.timings = timings;
        this.jobIndex = jobIndex;
        this.lastConfirmedAt = lastConfirmedAt;
    }

    /**
     * Whether a lease may be renewed with all cancellations settled up to the watermark, with a
     * margin for the drift of two clocks.
     */
    public boolean mayRenew(double cancellationWatermark, double now) {
        double margin = timings.cancellationDeadlineS() / 500 + timings.heartbeatIntervalS() / 8;
        return now
                <= cancellationWatermark
                        + timings.cancellationDeadlineS()
                        - timings.leaseS()
                        - margin;
    }

    /**
     * The watermark by this controller's own replica, while no leader answers. What the heartbeat
     * shows of cancelled jobs is stopped by the answer itself. What it does not show may still be
     * on its way as a run order; but no order leaves before its intent is durable, and no intent
     * becomes durable once its job is cancelled: so either its intent is known here, or its job was
     * not cancelled as of this replica. Where the intent is known, the watermark is the time at
     * which the job was last known to be open.
     */
    public double localCancellationWatermark(Heartbeat heartbeat) {
        return Math.min(
                lastConfirmedAt.getAsDouble(),
                jobIndex.noneCancelledAsOf(
                        heartbeat.machine(),
                        attempt -> shows(heartbeat, attempt.task(), attempt.number())));
    }

    private static boolean shows(Heartbeat heartbeat, String task, int attemptNumber) {
        return heartbeat.attempts().stream()
                .anyMatch(
                        status ->
                                status.taskRef().toString().equals(task)
                                        && status.attemptNumber() == attemptNumber);
    }

    /**
     * Stop orders for what the heartbeat shows of jobs that are known to be cancelled: right under
     * any fencing token, since a cancellation is final.
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
