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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Replays recorded traces against {@link Fleet}. Guards against treating an attempt as ended
 * without a {@link TerminationProof}, which would run a task twice, and against clearing an attempt
 * that a late order could start again.
 */
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
    void fleetReplayingAttemptTraceYieldsRecordedDecisions(String name) throws IOException {
        ReplayTrace.check(name, this::applyEvent);
    }

    private List<String> applyEvent(String[] words) {
        events.clear();
        now += 1;
        if (words[0].equals("silence")) {
            return List.of(Math.round(fleet.getMachine(words[1]).unreachableFor(now)) + " s");
        }
        if (words[0].equals("ask")) {
            return List.of(stateOf(fleet.getMachine(words[1])));
        }
        if (!applyAttemptEvent(words) && !applyMachineEvent(words) && !applyLeaderEvent(words)) {
            throw new IllegalArgumentException(words[0]);
        }
        if (fleet.needsNewerFencingToken()) {
            events.add("a newer token is wanted");
        }
        return List.copyOf(events);
    }

    /** Applies an event of the leader itself; returns false for any other event. */
    private boolean applyLeaderEvent(String[] words) {
        switch (words[0]) {
            case "elected" ->
                    fleet = new Fleet(this, new FencingToken(Long.parseLong(words[1])), 3);
            case "token" -> fleet.renewFencingToken(new FencingToken(Long.parseLong(words[1])));
            case "hold" -> fleet.setStartsSuspended(true);
            case "go" -> fleet.setStartsSuspended(false);
            case "wait" -> now += Integer.parseInt(words[1]) - 1;
            default -> {
                return false;
            }
        }
        return true;
    }

    /** Applies an action of the leader on attempts; returns false for any other event. */
    private boolean applyAttemptEvent(String[] words) {
        switch (words[0]) {
            case "intend" -> attempts.put(words[1], intend(words[1], words[2]));
            case "durable" ->
                    events.add(
                            fleet.markIntentDurable(attempts.get(words[1]))
                                    ? "may be ordered"
                                    : "not ordered");
            case "direct" -> fleet.recordDirectOrders(List.of(attempts.get(words[1])));
            case "stop" -> fleet.requestStop(attempts.get(words[1]), 0);
            case "cancelled" -> {
                job.finish(Status.CANCELLED, now);
                attempts.values().forEach(attempt -> fleet.requestStop(attempt, 0));
            }
            case "settled" -> attempts.get(words[1]).acknowledge();
            case "restore" -> attempts.put(words[1], restore(words));
            default -> {
                return false;
            }
        }
        return true;
    }

    private Attempt intend(String ref, String machine) {
        int task = taskIndex(ref);
        return fleet.addIntendedAttempt(
                job, task, job.startAttempt(task), fleet.getMachine(machine), now);
    }

    private Attempt restore(String[] words) {
        return fleet.restoreAttempt(
                job,
                taskIndex(words[1]),
                Integer.parseInt(words[2]),
                words[3],
                Long.parseLong(words[4]),
                now);
    }

    /** Applies an event from a machine or the cloud; returns false for any other event. */
    private boolean applyMachineEvent(String[] words) {
        switch (words[0]) {
            case "unsettled" -> {
                List<Attempt> mayStart =
                        fleet.cancelledAttemptsThatMayStart(fleet.getMachine(words[1]));
                events.add(mayStart.isEmpty() ? "nothing" : mayStart.get(0).taskRef.toString());
            }
            case "released" -> fleet.confirmReleased(words[1]);
            case "beat" ->
                    fleet.handleHeartbeat(heartbeat(words), now)
                            .ifPresentOrElse(
                                    orders -> orders.forEach(this::recordOrder),
                                    () -> events.add("not answered"));
            case "heard" -> fleet.handleDirectResponse(heartbeat(words), now);
            case "remembered" -> fleet.handleCachedHeartbeat(heartbeat(words), now);
            case "listed" -> fleet.addExpectedMachine(words[1], "box", "east", false, now, now);
            default -> {
                return false;
            }
        }
        return true;
    }

    private void recordOrder(Order order) {
        String verb = order.getClass().getSimpleName().toLowerCase(Locale.ROOT);
        events.add("order " + verb + " " + order.taskRef() + " try " + order.attemptNumber());
    }

    private String stateOf(Machine machine) {
        if (machine.isSchedulable(now)) {
            return "takes work";
        }
        if (machine.hasLostFencingToken()) {
            return "began anew";
        }
        return machine.hasReceiveFailure() ? "deaf" : "no work";
    }

    private static int taskIndex(String ref) {
        return TaskRef.parse(ref).orElseThrow().task();
    }

    /** Parses MACHINE TENURE SERIAL TOKEN [TASK:TRY:STATE[:CAUSE]]... from the second word on. */
    private static Heartbeat heartbeat(String[] words) {
        List<Heartbeat.AttemptStatus> statuses = new ArrayList<>();
        for (int i = 5; i < words.length; i++) {
            String[] fields = words[i].split(":");
            statuses.add(
                    new Heartbeat.AttemptStatus(
                            TaskRef.parse(fields[0]).orElseThrow(),
                            Integer.parseInt(fields[1]),
                            Heartbeat.State.valueOf(fields[2].toUpperCase(Locale.ROOT)),
                            fields.length > 3
                                    ? Heartbeat.Cause.valueOf(fields[3].toUpperCase(Locale.ROOT))
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
                statuses);
    }

    @Override
    public void attemptStarted(Attempt attempt) {
        events.add("started " + attempt.taskRef + " try " + attempt.number);
    }

    @Override
    public void attemptCompleted(Attempt attempt, double runTimeS) {
        events.add(
                "completed "
                        + attempt.taskRef
                        + " try "
                        + attempt.number
                        + (runTimeS > 0 ? " after " + Math.round(runTimeS) + " s" : ""));
        job.markDone(attempt.task);
    }

    @Override
    public void attemptTerminated(Attempt attempt, Heartbeat.Cause cause) {
        events.add("gone " + attempt.taskRef + " try " + attempt.number + " " + cause);
        job.requeue(attempt.task);
    }

    @Override
    public void machineJoined(Machine machine) {
        events.add("appeared " + machine.name);
    }
}
