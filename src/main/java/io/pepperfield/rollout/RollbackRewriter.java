package io.pepperfield.rollout;

import io.pepperfield.node.Loop;
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

    private final Loop loop;
    private final StateService raw;
    private final VersionGate gate;
    private final VersionChanges versions;
    private final int mostRecords;
    private final double changeS;

    private boolean busy;
    private double nextAt;
    private String after = FIRST_PLACE;

    /** The version record that this reading began under: none is written compactly since then. */
    private long versionStamp;

    /** Whether a record could not be rewritten since the reading began anew. */
    private boolean skipped;

    /** Records are tried one by one, after a transaction was refused for good. */
    private boolean alone;

    RollbackRewriter(
            Loop loop,
            StateService raw,
            VersionGate gate,
            VersionChanges versions,
            int mostChanges,
            double writesPerS) {
        this.loop = loop;
        this.raw = raw;
        this.gate = gate;
        this.versions = versions;
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
                        .limit(alone ? 1 : mostRecords)
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
                changes.add(
                        Change.set(
                                VersionedStateService.firstKey(record.key()),
                                CompactRunRecords.decode(record.data())));
            } catch (UnreadableRecord e) {
                // Neither guessed nor lost: the rollback does not end while it is there.
                LOG.warn("{} cannot be rewritten: {}", record.key(), e.getMessage());
                skipped = true;
                continue;
            }
            changes.add(Change.delete(record.key()));
            guards.add(new Guard(record.key(), record.stamp()));
        }
        String last = records.get(records.size() - 1).key();
        if (changes.isEmpty()) {
            after = last;
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

    private void written(TxnResult result, int count, String last) {
        if (result instanceof TxnResult.Committed) {
            after = last;
            alone = false;
        } else if (result instanceof TxnResult.Refused refused && refused.status() == MALFORMED) {
            if (count == 1) {
                LOG.warn("{} is too large for the first form under today's limits", last);
                after = last;
                skipped = true;
            }
            alone = count > 1;
        }
    }
}
