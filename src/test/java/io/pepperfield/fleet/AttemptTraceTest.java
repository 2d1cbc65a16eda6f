package io.pepperfield.fleet;

import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.Status;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.standin.Trace;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The proofs that an attempt is gone, and when a worker may forget one. */
class AttemptTraceTest implements Fleet.Listener {

    private final List<String> said = new ArrayList<>();
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
        Trace.check(name, this::play);
    }

    private List<String> play(String[] words) {
        said.clear();
        now += 1;
        switch (words[0]) {
            case "elected" -> fleet = new Fleet(this, Long.parseLong(words[1]), 3);
            case "token" -> fleet.token(Long.parseLong(words[1]));
            case "intend" -> {
                Attempt attempt =
                        fleet.intend(
                                job,
                                task(words[1]),
                                job.begin(task(words[1])),
                                fleet.get(words[2]),
                                now);
                attempts.put(words[1], attempt);
            }
            case "durable" ->
                    said.add(
                            fleet.ordered(attempts.get(words[1]))
                                    ? "may be ordered"
                                    : "not ordered");
            case "direct" -> fleet.sendingDirect(List.of(attempts.get(words[1])));
            case "stop" -> fleet.stop(attempts.get(words[1]), 0);
            case "cancelled" -> {
                job.end(Status.CANCELLED, now);
                attempts.values().forEach(attempt -> fleet.stop(attempt, 0));
            }
            case "unsettled" -> {
                List<Attempt> unsettled = fleet.unsettledCancelled(fleet.get(words[1]));
                said.add(unsettled.isEmpty() ? "nothing" : unsettled.get(0).ref.toString());
            }
            case "silence" -> {
                return List.of(Math.round(fleet.get(words[1]).lostFor(now)) + " s");
            }
            case "hold" -> fleet.holdStarts(true);
            case "go" -> fleet.holdStarts(false);
            case "wait" -> now += Integer.parseInt(words[1]) - 1;
            case "settled" -> attempts.get(words[1]).settle();
            case "restore" ->
                    attempts.put(
                            words[1],
                            fleet.restore(
                                    job,
                                    task(words[1]),
                                    Integer.parseInt(words[2]),
                                    words[3],
                                    Long.parseLong(words[4]),
                                    now));
            case "released" -> fleet.gone(words[1]);
            case "beat" -> {
                List<Order> orders = fleet.beat(report(words), now);
                if (orders == null) {
                    said.add("not answered");
                } else {
                    orders.forEach(
                            o ->
                                    said.add(
                                            "order "
                                                    + o.getClass()
                                                            .getSimpleName()
                                                            .toLowerCase(Locale.ROOT)
                                                    + " "
                                                    + o.ref()
                                                    + " try "
                                                    + o.attempt()));
                }
            }
            case "heard" -> fleet.heard(report(words), now);
            case "remembered" -> fleet.remembered(report(words), now);
            case "listed" -> fleet.expect(words[1], "box", "east", false, now, now);
            case "ask" -> {
                Machine machine = fleet.get(words[1]);
                return List.of(
                        machine.takesWork(now)
                                ? "takes work"
                                : machine.reborn()
                                        ? "began anew"
                                        : machine.deaf() ? "deaf" : "no work");
            }
            default -> throw new IllegalArgumentException(words[0]);
        }
        if (fleet.newerTokenWanted()) {
            said.add("a newer token is wanted");
        }
        return List.copyOf(said);
    }

    private static int task(String ref) {
        return TaskRef.parse(ref).task();
    }

    /** MACHINE TENURE SERIAL TOKEN [TASK:TRY:STATE[:CAUSE]]... */
    private static Report report(String[] words) {
        List<Report.Line> lines = new ArrayList<>();
        for (int i = 5; i < words.length; i++) {
            String[] part = words[i].split(":");
            lines.add(
                    new Report.Line(
                            TaskRef.parse(part[0]),
                            Integer.parseInt(part[1]),
                            Report.State.valueOf(part[2].toUpperCase(Locale.ROOT)),
                            part.length > 3
                                    ? Report.Cause.valueOf(part[3].toUpperCase(Locale.ROOT))
                                    : Report.Cause.NONE));
        }
        return new Report(
                words[1],
                "a:1",
                "box",
                "east",
                false,
                Long.parseLong(words[2]),
                Long.parseLong(words[3]),
                Long.parseLong(words[4]),
                null,
                lines);
    }

    @Override
    public void started(Attempt attempt) {
        said.add("started " + attempt.ref + " try " + attempt.number);
    }

    @Override
    public void completed(Attempt attempt, double ranS) {
        said.add(
                "completed "
                        + attempt.ref
                        + " try "
                        + attempt.number
                        + (ranS > 0 ? " after " + Math.round(ranS) + " s" : ""));
        job.markDone(attempt.task);
    }

    @Override
    public void gone(Attempt attempt, Report.Cause cause) {
        said.add("gone " + attempt.ref + " try " + attempt.number + " " + cause);
        job.requeue(attempt.task);
    }

    @Override
    public void appeared(Machine machine) {
        said.add("appeared " + machine.name);
    }
}
