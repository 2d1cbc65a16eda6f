package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.loop.Loop;
import io.pepperfield.rollout.CompactRunRecords.UnreadableRecord;
import io.pepperfield.store.Keys;
import io.pepperfield.store.StateService;
import io.pepperfield.store.StateService.Change;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.StateService.Item;
import io.pepperfield.store.StateService.ReadResult;
import io.pepperfield.store.StateService.TxnResult;
import io.pepperfield.store.StateService.Urgency;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Rewrites compact records in the first form during a rollback, a few in each transaction and at a
 * bounded rate. What is left is found from the keys, so that any leader can go on where another
 * ended. Each rewriting is guarded by the compact record's stamp: a write of the leader in between
 * makes it fail, and the record is read again.
 */
final class RollbackRewriter {

    private static final Logger LOG = LoggerFactory.getLogger(RollbackRewriter.class);

    /** The part of the service's changes per second that rewriting may use. */
    private static final double RATE_SHARE = 0.25;

    /** Each record is a put and a deletion. */
    private static final int CHANGES_PER_RECORD = 2;

    /** The service will never take the transaction as it is. */
    private static final int MALFORMED = 400;

    /** Sorts right before all compact records. */
    private static final String FIRST_PLACE =
            Keys.SECOND_RUN.substring(0, Keys.SECOND_RUN.length() - 1);

    /** How the next records are written, after a transaction was refused for good. */
    private enum Attempt {
        /** Several at a time. */
        TOGETHER,
        /** One by one, as one of them may be too large. */
        ALONE,
        /** One, among several keys. */
        DIVIDED
    }

    private final Loop loop;
    private final StateService raw;
    private final VersionGate gate;
    private final VersionChanges versions;
    private final Function<String, JobSpec> jobs;
    private final int mostRecords;
    private final double changeS;

    private boolean busy;
    private double nextAt;
    private String after = FIRST_PLACE;

    /** The version record that this reading began under: none is written compactly since then. */
    private long versionStamp;

    /** Whether a record could not be rewritten since the reading began anew. */
    private boolean skipped;

    private Attempt attempt = Attempt.TOGETHER;

    /**
     * @param jobs gives the description of an accepted job, or null
     */
    RollbackRewriter(
            Loop loop,
            StateService raw,
            VersionGate gate,
            VersionChanges versions,
            Function<String, JobSpec> jobs,
            int mostChanges,
            double writesPerS) {
        this.loop = loop;
        this.raw = raw;
        this.gate = gate;
        this.versions = versions;
        this.jobs = jobs;
        this.mostRecords = Math.max(1, mostChanges / CHANGES_PER_RECORD);
        this.changeS = 1 / (RATE_SHARE * writesPerS);
    }

    /** To be called often while this node leads and a rollback is under way. */
    void tick() {
        if (busy || loop.now() < nextAt) {
            return;
        }
        if (gate.guard().stamp() != versionStamp) {
            // Records may have been written compactly anew, also before the place reached then.
            versionStamp = gate.guard().stamp();
            beginAnew();
        }
        busy = true;
        long readUnder = versionStamp;
        raw.range(after, result -> read(result, readUnder));
    }

    private void pause(int changes) {
        busy = false;
        nextAt = loop.now() + Math.max(1, changes) * changeS;
    }

    private void beginAnew() {
        after = FIRST_PLACE;
        skipped = false;
        attempt = Attempt.TOGETHER;
    }

    /** The rollback does not end while a record is left out. */
    private void skip(String last) {
        after = last;
        skipped = true;
        attempt = Attempt.TOGETHER;
    }

    private void read(ReadResult result, long readUnder) {
        if (!(result instanceof ReadResult.Read read)
                || gate.guard().stamp() != readUnder
                || gate.version().phase() != ClusterVersion.Phase.ROLLING_BACK) {
            pause(1);
            return;
        }
        List<Item> records =
                read.items().stream()
                        .filter(item -> item.key().startsWith(Keys.SECOND_RUN))
                        .limit(attempt == Attempt.TOGETHER ? mostRecords : 1)
                        .toList();
        if (!records.isEmpty()) {
            rewrite(records);
        } else if (read.more()) {
            after = read.items().get(read.items().size() - 1).key();
            pause(1);
        } else {
            end();
        }
    }

    private void end() {
        if (skipped) {
            beginAnew();
            pause(mostRecords);
            return;
        }
        versions.rolledBack(
                answer -> {
                    beginAnew();
                    pause(1);
                });
    }

    private void rewrite(List<Item> records) {
        List<Guard> guards = versions.leadersGuards();
        List<Change> changes = new ArrayList<>();
        for (Item record : records) {
            try {
                addRewriting(record, guards, changes);
            } catch (UnreadableRecord e) {
                // Neither guessed nor lost.
                LOG.warn("{} cannot be rewritten: {}", record.key(), e.getMessage());
                skipped = true;
            }
        }
        String last = records.get(records.size() - 1).key();
        if (changes.isEmpty()) {
            skip(last);
            pause(1);
            return;
        }
        raw.txn(
                Urgency.RUN,
                guards,
                changes,
                result -> {
                    written(result, records.size(), last);
                    pause(changes.size());
                });
    }

    private void addRewriting(Item record, List<Guard> guards, List<Change> changes)
            throws UnreadableRecord {
        String key = VersionedStateService.firstKey(record.key());
        JsonNode lines = CompactRunRecords.decode(record.data());
        if (attempt == Attempt.DIVIDED) {
            addParts(key, lines, guards, changes);
        } else {
            changes.add(Change.set(key, lines));
        }
        changes.add(Change.delete(record.key()));
        guards.add(new Guard(record.key(), record.stamp()));
    }

    /**
     * The record as several of the first form, as the leader divides one that does not fit any
     * more: all are written together, and none may be there yet.
     */
    private void addParts(String key, JsonNode lines, List<Guard> guards, List<Change> changes)
            throws UnreadableRecord {
        int slash = key.lastIndexOf('/');
        JobSpec spec = jobs.apply(key.substring(Keys.RUN.length(), slash));
        int chunk = Integer.parseInt(key.substring(slash + 1));
        if (spec == null || chunk >= spec.chunks()) {
            throw new UnreadableRecord("too large for the first form, and not to be divided");
        }
        int part = 0;
        for (List<RunRecord> some :
                RunRecord.divide(RunRecord.read(lines), chunk * spec.chunk(), spec.chunk())) {
            String partKey = spec.partKey(chunk, part++);
            changes.add(Change.set(partKey, RunRecord.write(some)));
            guards.add(new Guard(partKey, 0));
            if (part > 1) {
                guards.add(new Guard(VersionedStateService.compactKey(partKey), 0));
            }
        }
    }

    private void written(TxnResult result, int count, String last) {
        if (result instanceof TxnResult.Committed) {
            after = last;
            attempt = Attempt.TOGETHER;
            return;
        }
        if (!(result instanceof TxnResult.Refused refused) || refused.status() != MALFORMED) {
            return;
        }
        if (count > 1) {
            attempt = Attempt.ALONE;
        } else if (attempt != Attempt.DIVIDED) {
            attempt = Attempt.DIVIDED;
        } else {
            LOG.warn("{} is too large for the first form under today's limits", last);
            skip(last);
        }
    }
}
