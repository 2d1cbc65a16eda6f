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
 * Reports every 4 s, leases of 22 s, cancellations within 47 s: on what knowledge a lease is
 * renewed, and for how long.
 */
class LeaseRenewalPolicyTest {

    private double knownUpTo = 60;
    private final JobIndex jobIndex = new JobIndex(() -> knownUpTo);
    private final LeaseRenewalPolicy renewal =
            new LeaseRenewalPolicy(
                    new Settings.WorkerTimings(4, 22, 47), jobIndex, () -> knownUpTo);

    private void accepted(String id, String... needed) {
        jobIndex.changed(
                Keys.JOB_PREFIX + id,
                JobCodec.encodeSpec(
                        new JobSpecBuilder()
                                .id(id)
                                .tasks(2)
                                .spot(true)
                                .chunk(8)
                                .dependencies(List.of(needed))
                                .build()));
    }

    private void alive(String id, String machine) {
        jobIndex.changed(
                Keys.runRecord(id, 0),
                TaskState.encode(List.of(new TaskState(0, 3, TaskState.Phase.LIVE, machine, 1))));
    }

    private void cancelled(String id) {
        jobIndex.changed(
                Keys.FINAL_STATE_PREFIX + id, JobCodec.encodeFinalStatus(Status.CANCELLED));
    }

    private static Heartbeat report(String machine, Heartbeat.AttemptStatus... lines) {
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
                List.of(lines));
    }

    private static Heartbeat.AttemptStatus line(String id, int attempt, Heartbeat.State state) {
        return new Heartbeat.AttemptStatus(
                new TaskRef(id, 0), attempt, state, Heartbeat.Cause.NONE);
    }

    @Test
    void aLeaseEndsBeforeWhatIsCancelledAfterwardsMustBeGone() {
        assertTrue(renewal.mayRenew(70, 94.4));
        // Renewed then, it would end at 116.6 by a clock that may be slow: too close to 70 + 47.
        assertFalse(renewal.mayRenew(70, 94.6));
    }

    @Test
    void whatIsShownIsStoppedAndWhatIsStillToBeginIsWaitedFor() {
        accepted("run-000001");
        accepted("run-000002");
        alive("run-000001", "m1");
        alive("run-000002", "m1");
        // The question sent at 60 was answered, and so is one sent at 70: the cancellation fell
        // between.
        cancelled("run-000001");
        knownUpTo = 70;
        // Its run order may be held back, and nobody here can call it off: the machine must end by
        // itself in time.
        assertEquals(60, renewal.localCancellationWatermark(report("m1")));
        assertEquals(List.of(), renewal.stopOrdersForCancelledJobs(report("m1")));
        // Another attempt of the same task says nothing about this one.
        assertEquals(
                60,
                renewal.localCancellationWatermark(
                        report("m1", line("run-000001", 2, Heartbeat.State.ENDED))));
        // Where it runs it is stopped with the answer; where it has ended, a late order does
        // nothing.
        Heartbeat running =
                report(
                        "m1",
                        line("run-000001", 3, Heartbeat.State.RUNNING),
                        line("run-000002", 3, Heartbeat.State.RUNNING));
        assertEquals(70, renewal.localCancellationWatermark(running));
        assertEquals(
                List.of(new Order.Stop(new TaskRef("run-000001", 0), 3, 0)),
                renewal.stopOrdersForCancelledJobs(running));
        Heartbeat ended = report("m1", line("run-000001", 3, Heartbeat.State.ENDED));
        assertEquals(70, renewal.localCancellationWatermark(ended));
        assertEquals(List.of(), renewal.stopOrdersForCancelledJobs(ended));
        // Other machines go on.
        assertEquals(70, renewal.localCancellationWatermark(report("m2")));
        // Proven gone, as the leader has written meanwhile.
        jobIndex.changed(
                Keys.runRecord("run-000001", 0),
                TaskState.encode(List.of(new TaskState(0, 3, TaskState.Phase.GONE, "", 0))));
        assertEquals(70, renewal.localCancellationWatermark(report("m1")));
    }

    @Test
    void anIntentThatIsReadAfterItsJobsCancellationCountsToo() {
        accepted("run-000001");
        cancelled("run-000001");
        alive("run-000001", "m1");
        knownUpTo = 70;
        assertEquals(60, renewal.localCancellationWatermark(report("m1")));
    }

    @Test
    void aLeadersAnswerThatStopsSomethingSettlesNothing() {
        // Whether it arrives nobody knows; the next one without a stop says that it did.
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
     * It is cancelled with its ancestor, wherever that was confirmed and whether this node read of
     * it or was told by another.
     */
    @Test
    void theCancellationOfAnAncestorCountsForAJobThatNeedsIt() {
        accepted("run-000001");
        accepted("run-000002", "run-000001");
        accepted("run-000003", "run-000002");
        cancelled("run-000001");
        // No leader starts anything of it; what a line calls alive all the same is waited for.
        alive("run-000003", "m1");
        knownUpTo = 70;
        assertEquals(60, renewal.localCancellationWatermark(report("m1")));
        Heartbeat running = report("m1", line("run-000003", 3, Heartbeat.State.RUNNING));
        assertEquals(70, renewal.localCancellationWatermark(running));
        assertEquals(
                List.of(new Order.Stop(new TaskRef("run-000003", 0), 3, 0)),
                renewal.stopOrdersForCancelledJobs(running));
        // Read again as its own cancellation: still open as of 60, not as of later.
        cancelled("run-000003");
        assertEquals(60, renewal.localCancellationWatermark(report("m1")));
    }
}
