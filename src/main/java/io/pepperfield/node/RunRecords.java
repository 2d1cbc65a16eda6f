package io.pepperfield.node;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Ledger;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.jobs.SharedRecords;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.TransactionLimits;
import io.pepperfield.store.Writer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The leader's durable run records: which key holds a task's line, and what is written under it.
 */
final class RunRecords {

    /** Each transaction is guarded by it. */
    private static final int LEADER_KEY = 1;

    private final Writer writer;
    private final Replica replica;
    private final Ledger ledger;
    private final SharedRecords shared;

    private final TransactionLimits limits;

    /** First keys of the records that this leader has divided. */
    private final Set<String> divided = new HashSet<>();

    /**
     * Jobs of shared records whose intents the last writing has left to the next one: each is
     * guarded by its job's final state, and a transaction takes only so many guards.
     */
    private final Set<String> heldBack = new HashSet<>();

    /**
     * @param limits of a transaction: a record is only divided if it fits into one
     */
    RunRecords(
            Writer writer,
            Replica replica,
            Ledger ledger,
            SharedRecords shared,
            TransactionLimits limits) {
        this.writer = writer;
        this.replica = replica;
        this.ledger = ledger;
        this.shared = shared;
        this.limits = limits;
    }

    /** Takes over an earlier leader's shared records. */
    void restore(Map<String, List<String>> records, Map<String, Job> jobs) {
        records.forEach((key, ids) -> shared.restore(key, ids, jobs));
    }

    /** The task's line has changed; {@code effect} runs once it is durable. */
    void mark(Job job, int task, Writer.Priority priority, Runnable effect) {
        String key = sharedKey(job);
        if (key != null) {
            writer.mark(
                    key,
                    priority,
                    sharedContent(key),
                    () -> openEnds(shared.jobs(key)),
                    effect == null ? null : () -> unlessHeldBack(job, task, priority, effect),
                    null);
            return;
        }
        int chunk = task / job.spec.chunk();
        writer.mark(
                Keys.run(job.spec.id(), chunk),
                priority,
                ownContent(job, chunk),
                () -> openEnds(List.of(job)),
                effect,
                null);
    }

    /** What was left out of this writing is not durable yet: it goes into the next one. */
    private void unlessHeldBack(Job job, int task, Writer.Priority priority, Runnable effect) {
        if (heldBack.contains(job.spec.id())) {
            mark(job, task, priority, effect);
        } else {
            effect.run();
        }
    }

    private void holdBack(Collection<Job> jobs) {
        int left = Math.max(1, limits.guards() - RunRecord.PARTS - LEADER_KEY);
        for (Job job : jobs) {
            heldBack.remove(job.spec.id());
            if (intends(job) && left-- <= 0) {
                heldBack.add(job.spec.id());
            }
        }
    }

    private boolean intends(Job job) {
        return job.end() == null
                && ledger.live(job).stream()
                        .anyMatch(attempt -> attempt.phase() == Attempt.Phase.INTENDED);
    }

    private Writer.Content sharedContent(String key) {
        return new Writer.Content() {
            @Override
            public Map<String, JsonNode> values() {
                holdBack(shared.jobs(key));
                return shared.content(key, member -> lines(member, 0));
            }

            @Override
            public boolean divide() {
                return mayDivide() && shared.divide(key);
            }
        };
    }

    private Writer.Content ownContent(Job job, int chunk) {
        return new Writer.Content() {
            @Override
            public Map<String, JsonNode> values() {
                return isDivided(job, chunk)
                        ? parts(job, chunk)
                        : Map.of(
                                Keys.run(job.spec.id(), chunk), RunRecord.write(lines(job, chunk)));
            }

            @Override
            public boolean divide() {
                return mayDivide()
                        && !isDivided(job, chunk)
                        && divided.add(Keys.run(job.spec.id(), chunk));
            }
        };
    }

    private boolean mayDivide() {
        return RunRecord.PARTS <= limits.changes();
    }

    /** Whether this leader or an earlier one has divided the record. */
    private boolean isDivided(Job job, int chunk) {
        if (divided.contains(Keys.run(job.spec.id(), chunk))) {
            return true;
        }
        for (int part = 1; part < RunRecord.PARTS; part++) {
            if (replica.get(job.spec.partKey(chunk, part)) != null) {
                return true;
            }
        }
        return false;
    }

    /**
     * The lines of a divided record. All parts are written together, so that none is ever missing
     * and none is found in two of them. A part without a line is not written yet.
     */
    private Map<String, JsonNode> parts(Job job, int chunk) {
        List<List<RunRecord>> parts =
                RunRecord.divide(lines(job, chunk), chunk * job.spec.chunk(), job.spec.chunk());
        Map<String, JsonNode> values = new LinkedHashMap<>();
        for (int part = 0; part < RunRecord.PARTS; part++) {
            if (part == 0 || !parts.get(part).isEmpty()) {
                values.put(job.spec.partKey(chunk, part), RunRecord.write(parts.get(part)));
            }
        }
        return values;
    }

    /**
     * The final states that must not exist when intents of these jobs become durable: once a
     * cancellation has taken effect, no start is intended any more, although this leader may not
     * have heard of it yet.
     */
    private List<String> openEnds(Collection<Job> of) {
        return of.stream()
                .filter(job -> intends(job) && !heldBack.contains(job.spec.id()))
                .map(job -> Keys.END + job.spec.id())
                .toList();
    }

    /** Whether the job shares its record with other small ones. */
    boolean sharesRecord(Job job) {
        return sharedKey(job) != null;
    }

    /**
     * The job has ended: what waits to be written of its own records says less than its final
     * state, and is spared.
     */
    void drop(Job job) {
        for (int chunk = 0; chunk < job.spec.chunks() && !sharesRecord(job); chunk++) {
            writer.drop(Keys.run(job.spec.id(), chunk));
        }
    }

    /** The job is over and nothing of it may be alive. */
    void forget(Job job) {
        shared.over(job.spec.id());
    }

    /** The run record that the job shares with other small ones, or null. */
    private String sharedKey(Job job) {
        return shared.keyOf(job, replica.get(Keys.run(job.spec.id(), 0)) != null);
    }

    private List<RunRecord> lines(Job job, int chunk) {
        List<RunRecord> lines = new ArrayList<>();
        int end = Math.min(job.spec.tasks(), (chunk + 1) * job.spec.chunk());
        for (int task = chunk * job.spec.chunk(); task < end; task++) {
            int number = job.attempt(task);
            Attempt attempt = ledger.get(job, task);
            if (attempt != null
                    && attempt.phase() == Attempt.Phase.INTENDED
                    && heldBack.contains(job.spec.id())) {
                // As it was before: no order for this attempt has left.
                attempt = null;
                number--;
            }
            if (job.isDone(task)) {
                lines.add(new RunRecord(task, number, RunRecord.State.DONE, "", 0));
            } else if (attempt != null) {
                lines.add(
                        new RunRecord(
                                task,
                                number,
                                RunRecord.State.LIVE,
                                attempt.machine.name,
                                attempt.tenure));
            } else if (number > 0) {
                lines.add(
                        new RunRecord(
                                task,
                                number,
                                job.hasFailed(task) ? RunRecord.State.FAILED : RunRecord.State.GONE,
                                "",
                                0));
            }
        }
        return lines;
    }
}
