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
 * on a time K up to which all cancellations are settled on that machine, that is, none of their
 * tasks can be there once the answer has been carried out, and none can begin there any more; and
 * the lease then ends before K + cancel_s. What is cancelled after K is thus gone in time without
 * anybody's doing.
 *
 * <p>K is always the sending time of a question that the state service answered to the node on
 * whose knowledge the answer rests: neither a refusal nor a renewed grant nor a peer's word that
 * the service is lost to all moves it.
 */
public final class LeaseRenewal {

    private final Settings.WorkerTimings times;
    private final JobIndex jobIndex;
    private final DoubleSupplier lastConfirmedAt;

    /**
     * @param confirmedAt sending time of this node's last question that was answered with all
     *     changes up to then
     */
    public LeaseRenewal(
            Settings.WorkerTimings times, JobIndex catalog, DoubleSupplier confirmedAt) {
        this.times = times;
        this.jobIndex = catalog;
        this.lastConfirmedAt = confirmedAt;
    }

    /**
     * Whether a lease may be renewed now that all cancellations up to then are settled; with the
     * drift of two clocks and a margin.
     */
    public boolean mayRenew(double settledUpTo, double now) {
        double margin = times.cancellationDeadlineS() / 500 + times.heartbeatIntervalS() / 8;
        return now <= settledUpTo + times.cancellationDeadlineS() - times.leaseS() - margin;
    }

    /**
     * K by this node's own knowledge, while no leader answers. What the report shows of cancelled
     * jobs is stopped by the answer itself. What it does not show may still be on its way as a run
     * order; but no order leaves before its intent is durable, and no intent becomes durable once
     * its job is cancelled: so either its intent is known here, or its job was not cancelled as of
     * this node's knowledge. Of the former kind the machine may hear no longer than from when the
     * job was last known to be open.
     */
    public double localCancellationWatermark(Heartbeat report) {
        return Math.min(
                lastConfirmedAt.getAsDouble(),
                jobIndex.noneCancelledAsOf(
                        report.machine(),
                        attempt ->
                                report.attempts().stream()
                                        .anyMatch(
                                                line ->
                                                        line.taskRef()
                                                                        .toString()
                                                                        .equals(attempt.task())
                                                                && line.attemptNumber()
                                                                        == attempt.number())));
    }

    /**
     * Stops for what the report shows of jobs that are known to be cancelled: right under any
     * token, since nobody wants them any more.
     */
    public List<Order> stopsForCancelled(Heartbeat report) {
        List<Order> stops = new ArrayList<>();
        for (Heartbeat.AttemptStatus line : report.attempts()) {
            JobRecord record = jobIndex.get(line.taskRef().job());
            if (line.state() != Heartbeat.State.ENDED
                    && record != null
                    && record.finalStatus() == Status.CANCELLED) {
                stops.add(new Order.Stop(line.taskRef(), line.attemptNumber(), 0));
            }
        }
        return stops;
    }
}
