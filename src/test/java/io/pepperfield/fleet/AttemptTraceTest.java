package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.Status;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.standin.ReplayTrace;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The proofs that an attempt is gone, and when a worker may forget one. */
class AttemptTraceTest implements Fleet.Listener {

    private final List<String> events = new ArrayList<>();
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Job job = new Job(new JobSpecBuilder().tasks(4).chunk(4).build(), 0);
    private Fleet fleet;
    private double now;

    @ParameterizedTest
    @ValueSource(
            strings = {
                "attempt-life.txt",
                "attempt-late-orders.txt",
                "attempt-proofs.txt",
                "attempt-takeover.txt",
                "attempt-deaf.txt",
                "attempt-copies.txt",
                "attempt-held-orders.txt",
                "attempt-starts-held.txt"
            })
    void trace(String name) throws IOException {
        ReplayTrace.check(name, this::play);
    }

    private List<String> play(String[] words) {
        events.clear();
        now += 1;
        switch (words[0]) {
            case "elected" ->
                    fleet = new Fleet(this, new FencingToken(Long.parseLong(words[1])), 3);
            case "token" -> fleet.renewFencingToken(new FencingToken(Long.parseLong(words[1])));
            case "intend" -> {
                Attempt attempt =
                        fleet.intendAttempt(
                                job,
                                task(words[1]),
                                job.startAttempt(task(words[1])),
                                fleet.get(words[2]),
                                now);
                attempts.put(words[1], attempt);
            }
            case "durable" ->
                    events.add(
                            fleet.intentIsDurable(attempts.get(words[1]))
                                    ? "may be ordered"
                                    : "not ordered");
            case "direct" -> fleet.directOrdersLeaving(List.of(attempts.get(words[1])));
            case "stop" -> fleet.requestStop(attempts.get(words[1]), 0);
            case "cancelled" -> {
                job.finish(Status.CANCELLED, now);
                attempts.values().forEach(attempt -> fleet.requestStop(attempt, 0));
            }
            case "unsettled" -> {
                List<Attempt> unsettled = fleet.cancelledAttemptsThatMayStart(fleet.get(words[1]));
                events.add(unsettled.isEmpty() ? "nothing" : unsettled.get(0).taskRef.toString());
            }
            case "silence" -> {
                return List.of(Math.round(fleet.get(words[1]).unreachableFor(now)) + " s");
            }
            case "hold" -> fleet.suspendStarts(true);
            case "go" -> fleet.suspendStarts(false);
            case "wait" -> now += Integer.parseInt(words[1]) - 1;
            case "settled" -> attempts.get(words[1]).acknowledge();
            case "restore" ->
                    attempts.put(
                            words[1],
                            fleet.restoreAttempt(
                                    job,
                                    task(words[1]),
                                    Integer.parseInt(words[2]),
                                    words[3],
                                    Long.parseLong(words[4]),
                                    now));
            case "released" -> fleet.confirmReleased(words[1]);
            case "beat" -> {
                Optional<List<Order>> orders = fleet.handleHeartbeat(heartbeat(words), now);
                if (orders.isEmpty()) {
                    events.add("not answered");
                } else {
                    orders.get()
                            .forEach(
                                    order ->
                                            events.add(
                                                    "order "
                                                            + order.getClass()
                                                                    .getSimpleName()
                                                                    .toLowerCase(Locale.ROOT)
                                                            + " "
                                                            + order.taskRef()
                                                            + " try "
                                                            + order.attemptNumber()));
                }
            }
            case "heard" -> fleet.handleDirectResponse(heartbeat(words), now);
            case "remembered" -> fleet.handleCachedHeartbeat(heartbeat(words), now);
            case "listed" -> fleet.expectMachine(words[1], "box", "east", false, now, now);
            case "ask" -> {
                Machine machine = fleet.get(words[1]);
                return List.of(
                        machine.isSchedulable(now)
                                ? "takes work"
                                : machine.restarted()
                                        ? "began anew"
                                        : machine.hasReceiveFailure() ? "deaf" : "no work");
            }
            default -> throw new IllegalArgumentException(words[0]);
        }
        if (fleet.needsNewerFencingToken()) {
            events.add("a newer token is wanted");
        }
        return List.copyOf(events);
    }

    private static int task(String ref) {
        return TaskRef.parse(ref).orElseThrow().task();
    }

    /** MACHINE TENURE SERIAL TOKEN [TASK:TRY:STATE[:CAUSE]]... */
    private static Heartbeat heartbeat(String[] words) {
        List<Heartbeat.AttemptStatus> lines = new ArrayList<>();
        for (int i = 5; i < words.length; i++) {
            String[] part = words[i].split(":");
            lines.add(
                    new Heartbeat.AttemptStatus(
                            TaskRef.parse(part[0]).orElseThrow(),
                            Integer.parseInt(part[1]),
                            Heartbeat.State.valueOf(part[2].toUpperCase(Locale.ROOT)),
                            part.length > 3
                                    ? Heartbeat.Cause.valueOf(part[3].toUpperCase(Locale.ROOT))
                                    : Heartbeat.Cause.NONE));
        }
        return new Heartbeat(
                words[1],
                "a:1",
                "box",
                "east",
                false,
                Long.parseLong(words[2]),
                Long.parseLong(words[3]),
                new FencingToken(Long.parseLong(words[4])),
                null,
                lines);
    }

    @Override
    public void attemptStarted(Attempt attempt) {
        events.add("started " + attempt.taskRef + " try " + attempt.number);
    }

    @Override
    public void attemptCompleted(Attempt attempt, double ranS) {
        events.add(
                "completed "
                        + attempt.taskRef
                        + " try "
                        + attempt.number
                        + (ranS > 0 ? " after " + Math.round(ranS) + " s" : ""));
        job.markDone(attempt.task);
    }

    @Override
    public void attemptGone(Attempt attempt, Heartbeat.Cause cause) {
        events.add("gone " + attempt.taskRef + " try " + attempt.number + " " + cause);
        job.requeue(attempt.task);
    }

    @Override
    public void machineAppeared(Machine machine) {
        events.add("appeared " + machine.name);
    }
}
