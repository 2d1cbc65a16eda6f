package io.pepperfield.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.TaskRef;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobCodec;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.Status;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.store.Keys;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Lease renewal without the leader, with a heartbeat interval of 4 s, leases of 22 s and a
 * cancellation deadline of 47 s.
 */
class LeaseRenewalPolicyTest {

    private double lastConfirmedAt = 60;
    private final JobIndex jobIndex = new JobIndex(() -> lastConfirmedAt);
    private final LeaseRenewalPolicy policy =
            new LeaseRenewalPolicy(
                    new Settings.WorkerTimings(4, 22, 47), jobIndex, () -> lastConfirmedAt);

    private void addJob(String id, String... dependencies) {
        jobIndex.applyChange(
                Keys.JOB_PREFIX + id,
                JobCodec.encodeSpec(
                        new JobSpecBuilder()
                                .id(id)
                                .tasks(2)
                                .spot(true)
                                .chunk(8)
                                .dependencies(List.of(dependencies))
                                .build()));
    }

    private void addLiveAttempt(String id, String machine) {
        jobIndex.applyChange(
                Keys.runRecord(id, 0),
                TaskState.encode(List.of(new TaskState(0, 3, TaskState.Phase.LIVE, machine, 1))));
    }

    private void cancelJob(String id) {
        jobIndex.applyChange(
                Keys.FINAL_STATE_PREFIX + id, JobCodec.encodeFinalStatus(Status.CANCELLED));
    }

    private static Heartbeat heartbeat(String machine, Heartbeat.AttemptStatus... attempts) {
        return new Heartbeat(
                machine,
                "a:1",
                "box",
                "east",
                false,
                1,
                9,
                new FencingToken(5),
                null,
                List.of(attempts));
    }

    private static Heartbeat.AttemptStatus attemptStatus(
            String id, int attempt, Heartbeat.State state) {
        return new Heartbeat.AttemptStatus(
                new TaskRef(id, 0), attempt, state, Heartbeat.Cause.NONE);
    }

    @Test
    void leaseIsRenewedOnlyIfItExpiresBeforeTheCancellationDeadline() {
        assertTrue(policy.mayRenew(70, 94.4));
        // A lease renewed at 94.6 expires at 116.6 by a clock that may be slow, which is too close
        // to the deadline of 70 + 47.
        assertFalse(policy.mayRenew(70, 94.6));
    }

    @Test
    void reportedAttemptOfACancelledJobIsStoppedAndAnUnreportedOneHoldsTheWatermarkBack() {
        addJob("run-000001");
        addJob("run-000002");
        addLiveAttempt("run-000001", "m1");
        addLiveAttempt("run-000002", "m1");
        // The requests sent at 60 and at 70 were both answered by the store; the job was cancelled
        // between them.
        cancelJob("run-000001");
        lastConfirmedAt = 70;
        // Its run order may be delayed in transit and cannot be revoked by this controller, so the
        // machine must end the attempt by its lease in time.
        assertEquals(60, policy.localCancellationWatermark(heartbeat("m1")));
        assertEquals(List.of(), policy.stopOrdersForCancelledJobs(heartbeat("m1")));
        // A report of another attempt of the same task is no evidence about this one.
        assertEquals(
                60,
                policy.localCancellationWatermark(
                        heartbeat("m1", attemptStatus("run-000001", 2, Heartbeat.State.ENDED))));
        // A running attempt is stopped by the answer; for one that has ended a late run order has
        // no effect.
        Heartbeat heartbeatWithRunning =
                heartbeat(
                        "m1",
                        attemptStatus("run-000001", 3, Heartbeat.State.RUNNING),
                        attemptStatus("run-000002", 3, Heartbeat.State.RUNNING));
        assertEquals(70, policy.localCancellationWatermark(heartbeatWithRunning));
        assertEquals(
                List.of(new Order.Stop(new TaskRef("run-000001", 0), 3, 0)),
                policy.stopOrdersForCancelledJobs(heartbeatWithRunning));
        Heartbeat heartbeatWithEnded =
                heartbeat("m1", attemptStatus("run-000001", 3, Heartbeat.State.ENDED));
        assertEquals(70, policy.localCancellationWatermark(heartbeatWithEnded));
        assertEquals(List.of(), policy.stopOrdersForCancelledJobs(heartbeatWithEnded));
        // Other machines are not affected.
        assertEquals(70, policy.localCancellationWatermark(heartbeat("m2")));
        // The leader has meanwhile recorded the attempt as terminated.
        jobIndex.applyChange(
                Keys.runRecord("run-000001", 0),
                TaskState.encode(List.of(new TaskState(0, 3, TaskState.Phase.GONE, "", 0))));
        assertEquals(70, policy.localCancellationWatermark(heartbeat("m1")));
    }

    @Test
    void intentThatIsReadAfterItsJobsCancellationHoldsTheWatermarkBack() {
        addJob("run-000001");
        cancelJob("run-000001");
        addLiveAttempt("run-000001", "m1");
        lastConfirmedAt = 70;
        assertEquals(60, policy.localCancellationWatermark(heartbeat("m1")));
    }

    @Test
    void leaderAnswerWithAStopOrderSettlesNoCancellations() {
        // The answer may not arrive; the next answer without a stop order shows that it did.
        assertTrue(HeartbeatForwarder.cancellationWatermark(true, 70) < 0);
        assertEquals(70, HeartbeatForwarder.cancellationWatermark(false, 70));
        assertTrue(
                WorkerProtocol.containsStop(
                        Json.read(
                                "[{\"verb\":\"run\"},{\"verb\":\"stop\"}]"
                                        .getBytes(StandardCharsets.UTF_8))));
        assertFalse(
                WorkerProtocol.containsStop(
                        Json.read(
                                "[{\"verb\":\"run\"},{\"verb\":\"clear\"}]"
                                        .getBytes(StandardCharsets.UTF_8))));
    }

    /**
     * A job is cancelled together with any job that it depends on, whichever controller confirmed
     * the cancellation, and whether this one read it from the store or was notified by a peer.
     */
    @Test
    void cancellationOfAJobAppliesToItsTransitiveDependents() {
        addJob("run-000001");
        addJob("run-000002", "run-000001");
        addJob("run-000003", "run-000002");
        cancelJob("run-000001");
        // No leader starts tasks of a dependent job; but a run record with a live attempt still
        // holds the watermark back.
        addLiveAttempt("run-000003", "m1");
        lastConfirmedAt = 70;
        assertEquals(60, policy.localCancellationWatermark(heartbeat("m1")));
        Heartbeat heartbeatWithRunning =
                heartbeat("m1", attemptStatus("run-000003", 3, Heartbeat.State.RUNNING));
        assertEquals(70, policy.localCancellationWatermark(heartbeatWithRunning));
        assertEquals(
                List.of(new Order.Stop(new TaskRef("run-000003", 0), 3, 0)),
                policy.stopOrdersForCancelledJobs(heartbeatWithRunning));
        // When its own cancellation is read as well, it was still last known to be open at 60.
        cancelJob("run-000003");
        assertEquals(60, policy.localCancellationWatermark(heartbeat("m1")));
    }
}
