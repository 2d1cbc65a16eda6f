package io.pepperfield.node;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Ledger;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.jobs.SharedRecords;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.Writer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * The leader's durable run records: which key holds a task's line, and what is written under it.
 */
final class RunRecords {

    private final Writer writer;
    private final Replica replica;
    private final Ledger ledger;
    private final SharedRecords shared;

    RunRecords(Writer writer, Replica replica, Ledger ledger, SharedRecords shared) {
        this.writer = writer;
        this.replica = replica;
        this.ledger = ledger;
        this.shared = shared;
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
                    () -> shared.content(key, member -> lines(member, 0)),
                    () -> openEnds(shared.jobs(key)),
                    effect,
                    null);
            return;
        }
        int chunk = task / job.spec.chunk();
        writer.mark(
                Keys.run(job.spec.id(), chunk),
                priority,
                () -> RunRecord.write(lines(job, chunk)),
                () -> openEnds(List.of(job)),
                effect,
                null);
    }

    /**
     * The final states that must not exist when intents of these jobs become durable: once a
     * cancellation has taken effect, no start is intended any more, although this leader may not
     * have heard of it yet.
     */
    private List<String> openEnds(Collection<Job> of) {
        return of.stream()
                .filter(
                        job ->
                                job.end() == null
                                        && ledger.live(job).stream()
                                                .anyMatch(a -> a.phase() == Attempt.Phase.INTENDED))
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
