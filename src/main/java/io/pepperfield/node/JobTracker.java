package io.pepperfield.node;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Ledger;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.Report;
import io.pepperfield.jobs.Catalog;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.RankInheritance;
import io.pepperfield.jobs.SharedRecords;
import io.pepperfield.jobs.Status;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.Writer;
import java.util.LinkedHashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's jobs with the attempts at their tasks, from the first intent to the final state, and
 * the durable records of both. An intent is durable before its order may leave, and a completion
 * before its machine may forget it.
 */
final class JobTracker implements Dispatcher.Starter {

    private static final Logger LOG = LoggerFactory.getLogger(JobTracker.class);
    private static final Runnable NO_EFFECT = () -> {};

    private final Loop loop;
    private final Replica replica;
    private final Catalog catalog;
    private final Writer writer;
    private final Fleet fleet;
    private final DirectOrders direct;
    private final Runnable workChanged;
    private final double reportS;
    private final double chargeS;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final RankInheritance ranks =
            new RankInheritance((id, rank) -> jobs.get(id).placedAs(rank));
    private final Ledger ledger = new Ledger();
    private final RunRecords records;

    private boolean stopped;

    /**
     * @param token this leadership's token
     * @param workChanged to be run when what waits or what may be alive has changed
     */
    JobTracker(
            Loop loop,
            Settings settings,
            DurableState durable,
            long token,
            Fleet fleet,
            DirectOrders direct,
            Runnable workChanged) {
        this.loop = loop;
        this.replica = durable.replica();
        this.catalog = durable.catalog();
        this.writer = durable.writer();
        this.fleet = fleet;
        this.direct = direct;
        this.workChanged = workChanged;
        this.reportS = settings.deployment().workers().reportS();
        this.chargeS = settings.operators().chargeS();
        int linesInRecord = 2 * settings.deployment().state().txnOps();
        SharedRecords shared = new SharedRecords(token, linesInRecord);
        this.records = new RunRecords(writer, replica, ledger, shared, durable.limits());
    }

    /** The jobs that have not ended or may still have something alive, by id. */
    Map<String, Job> jobs() {
        return jobs;
    }

    /** What may be alive, by job and by team. */
    Ledger ledger() {
        return ledger;
    }

    /** The leadership has ended: what becomes durable from now on starts nothing. */
    void stop() {
        stopped = true;
    }

    // ---- taking over

    /** Reads all jobs from the replica, which must hold what earlier leaders have written. */
    void restoreAll() {
        JobRecovery recovery = new JobRecovery(fleet, ledger, loop);
        for (Catalog.Record record : catalog.all()) {
            boolean skipped = record.end() == Status.DONE || record.unreadable();
            Job job = skipped ? null : recovery.restore(record);
            if (job != null) {
                jobs.put(job.spec.id(), job);
                endIfDone(job, NO_EFFECT);
            }
        }
        records.restore(catalog.shared(), jobs);
        jobs.values().stream()
                .filter(job -> job.end() == null)
                .forEach(job -> await(job, catalog.get(job.spec.id())));
    }

    // ---- what the replica brings

    /** The replica brought a new job or a final state. */
    void catalogChanged(String id) {
        Catalog.Record record = catalog.get(id);
        if (record == null || record.unreadable()) {
            return;
        }
        Job job = jobs.get(id);
        if (record.end() != null) {
            if (job != null && job.end() == null) {
                ended(job, record.end());
            }
        } else if (job == null) {
            accept(record);
        } else if (job.isAwaiting() && record.ready()) {
            job.ready(readyAt(record));
            workChanged.run();
        }
    }

    private void accept(Catalog.Record record) {
        Job job = new Job(record.spec(), loop.now());
        jobs.put(record.spec().id(), job);
        await(job, record);
        workChanged.run();
    }

    /** A job that is not over waits for those that it needs, and lends them its rank. */
    private void await(Job job, Catalog.Record record) {
        if (!record.ready()) {
            job.awaiting();
        } else if (!job.spec.awaits().isEmpty()) {
            job.ready(readyAt(record));
        }
        ranks.added(job.spec);
    }

    /** By this leader's clock; now where the final states, by an older version, do not say. */
    private double readyAt(Catalog.Record record) {
        long sinceMs =
                record.readyMs().isPresent() ? loop.wallMs() - record.readyMs().getAsLong() : 0;
        return loop.now() - Math.max(0, sinceMs / 1000.0);
    }

    // ---- attempts

    /** Intends the attempt; its run order leaves once the intent is durable. */
    @Override
    public void start(Job job, int task, Machine machine) {
        Attempt attempt = fleet.intend(job, task, job.begin(task), machine, loop.now());
        ledger.add(attempt);
        boolean bestEffort = job.placed().rank() == JobSpec.Rank.BEST_EFFORT;
        Writer.Priority priority = bestEffort ? Writer.Priority.LATER : Writer.Priority.INTENT;
        records.mark(job, task, priority, () -> order(attempt));
    }

    private void order(Attempt attempt) {
        if (!stopped && fleet.ordered(attempt)) {
            direct.add(attempt);
        }
    }

    @Override
    public void stop(Attempt attempt, double drainS) {
        fleet.stop(attempt, drainS);
        direct.add(attempt);
    }

    /** A worker reports the attempt completed; true where its job was still open. */
    boolean completed(Attempt attempt) {
        Job job = attempt.job;
        ledger.remove(attempt);
        workChanged.run();
        if (job.end() != null) {
            attempt.settle();
            forgetIfOver(job);
            return false;
        }
        job.markDone(attempt.task);
        job.succeeded();
        // Done must be durable before the machine may forget it, or a later leader would run the
        // task again.
        if (allDone(job) && records.sharesRecord(job)) {
            // The final state says it as well, and spares the record that others share a change for
            // each of them.
            endIfDone(job, attempt::settle);
        } else {
            records.mark(job, attempt.task, Writer.Priority.PATIENT, attempt::settle);
            endIfDone(job, NO_EFFECT);
        }
        return true;
    }

    /** The attempt is proven gone without being completed; its task waits again. */
    void gone(Attempt attempt, Report.Cause cause) {
        Job job = attempt.job;
        ledger.remove(attempt);
        workChanged.run();
        boolean failed = cause == Report.Cause.ERROR || cause == Report.Cause.NO_SUCH;
        if (failed) {
            countFailure(attempt, cause);
        }
        if (blamesMachine(job, cause, failed)) {
            attempt.machine.avoid(loop.now() + 2 * reportS);
        }
        if (failed) {
            job.markFailed(attempt.task);
        }
        job.requeue(attempt.task);
        records.mark(job, attempt.task, Writer.Priority.PATIENT, null);
        forgetIfOver(job);
    }

    private void countFailure(Attempt attempt, Report.Cause cause) {
        // One line for a job: the tasks of a broken array fail by the hundred.
        LOG.debug(
                "{} attempt {} failed on {}: {}",
                attempt.ref,
                attempt.number,
                attempt.machine.describe(),
                cause);
        Job job = attempt.job;
        if (job.failed(attempt.machine.name, loop.now(), reportS, chargeS)) {
            LOG.info(
                    "{} has failed on {} and is tried one task at a time until one is completed",
                    job.spec.id(),
                    job.failedOn());
        }
    }

    /**
     * Whether the end of an attempt speaks against its machine. What fails of a job that nowhere
     * succeeded says nothing about the machine: several broken jobs would idle the fleet.
     */
    private static boolean blamesMachine(Job job, Report.Cause cause, boolean failed) {
        if (failed) {
            return job.doneCount() > 0;
        }
        return cause != Report.Cause.STOPPED && cause != Report.Cause.OTHER;
    }

    // ---- final states

    private static boolean allDone(Job job) {
        return job.end() == null && !job.spec.service() && job.allDone();
    }

    private void endIfDone(Job job, Runnable settle) {
        if (!allDone(job)) {
            return;
        }
        String key = Keys.END + job.spec.id();
        long doneMs = loop.wallMs();
        writer.mark(
                key,
                Writer.Priority.END,
                () -> JobMessages.durableDone(doneMs),
                () -> {
                    settle.run();
                    ended(job, Status.DONE);
                },
                () -> {
                    settle.run();
                    ended(job, JobMessages.end(replica.get(key).data()));
                });
    }

    private void ended(Job job, Status end) {
        job.end(end, catalog.get(job.spec.id()).openAsOf());
        ranks.removed(job.spec);
        if (end == Status.DONE) {
            records.drop(job);
        }
        for (Attempt attempt : ledger.of(job)) {
            stop(attempt, 0);
        }
        forgetIfOver(job);
        workChanged.run();
    }

    private void forgetIfOver(Job job) {
        if (job.end() != null && !ledger.has(job)) {
            jobs.remove(job.spec.id());
            records.forget(job);
        }
    }
}
