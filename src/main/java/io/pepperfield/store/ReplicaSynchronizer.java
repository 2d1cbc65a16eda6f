package io.pepperfield.store;

import io.pepperfield.loop.Loop;
import io.pepperfield.store.KeyValueStore.KeyValue;
import io.pepperfield.store.KeyValueStore.ReadResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Keeps the replica up to date by a watch, and confirms on demand that it is, as a read index does:
 * an answer such as "not ended yet" or 404 holds only if the state service said so after the
 * question was asked. Confined to the event loop's thread.
 */
public final class ReplicaSynchronizer {

    /** Users wait 2 s for an answer. */
    private static final double MAX_ANSWER_AGE_S = 2;

    /** After a failure the next try waits for this many of the usual intervals. */
    private static final int RETRY_INTERVALS = 4;

    /** After so many failed watches, and as many hold times without contact, all is read anew. */
    private static final int MAX_WATCH_FAILURES = 3;

    private static final int MAX_HOLDS_WITHOUT_CONTACT = 8;

    private final Loop loop;
    private final KeyValueStore store;
    private final Replica replica;
    private final double watchHoldS;
    private final double minIntervalS;
    private boolean loaded;
    private boolean loading;
    private boolean readIndexInFlight;
    private double lastConfirmedAt = Double.NEGATIVE_INFINITY;
    private List<Consumer<Boolean>> pendingReads = new ArrayList<>();
    private int consecutiveWatchFailures;

    /**
     * @param watchHoldS seconds for which the service holds a watch without changes
     * @param minIntervalS least time in seconds between two requests of one kind, which bounds
     *     their number per second
     */
    public ReplicaSynchronizer(
            Loop loop,
            KeyValueStore store,
            Replica replica,
            double watchHoldS,
            double minIntervalS) {
        this.loop = loop;
        this.store = store;
        this.replica = replica;
        this.watchHoldS = watchHoldS;
        this.minIntervalS = minIntervalS;
    }

    /** Loads the replica and begins to watch for changes. */
    public void start() {
        load();
        watch();
    }

    /** Whether all keys have been read once. */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Loop time in seconds at which the last request was sent that was answered with all changes up
     * to then.
     */
    public double lastConfirmedAt() {
        return lastConfirmedAt;
    }

    // ---- read index

    /**
     * Calls back with true once the replica holds everything that was decided before this call,
     * with false where the state service did not confirm that in time.
     */
    public void awaitReadIndex(Consumer<Boolean> done) {
        if (!loaded) {
            done.accept(false);
            return;
        }
        pendingReads.add(done);
        if (!readIndexInFlight) {
            requestReadIndex();
        }
    }

    private void requestReadIndex() {
        readIndexInFlight = true;
        List<Consumer<Boolean>> reads = pendingReads;
        pendingReads = new ArrayList<>();
        double sentAt = loop.now();
        store.watch(
                replica.revision(),
                0,
                result -> {
                    // First of all: whatever throws below must not end all later requests.
                    loop.schedule(minIntervalS, this::requestNextReadIndex);
                    completeReads(reads, result, sentAt);
                });
    }

    private void requestNextReadIndex() {
        readIndexInFlight = false;
        if (!pendingReads.isEmpty()) {
            requestReadIndex();
        }
    }

    private void completeReads(List<Consumer<Boolean>> reads, ReadResult result, double sentAt) {
        boolean current = false;
        try {
            // An answer that this process slept over says how things stood then, not when those
            // asked who still wait.
            current = applyResult(result, sentAt) && loop.now() - sentAt <= MAX_ANSWER_AGE_S;
        } finally {
            completeAll(reads, current);
        }
    }

    /**
     * Each is told, even if another throws: a new leader that fails over its recovery must not cost
     * users their answers.
     */
    private static void completeAll(List<Consumer<Boolean>> reads, boolean current) {
        RuntimeException thrown = null;
        for (Consumer<Boolean> read : reads) {
            try {
                read.accept(current);
            } catch (RuntimeException e) {
                thrown = e;
            }
        }
        if (thrown != null) {
            throw thrown;
        }
    }

    // ---- watch

    private void watch() {
        if (!loaded) {
            loop.schedule(RETRY_INTERVALS * minIntervalS, this::watch);
            return;
        }
        double sentAt = loop.now();
        store.watch(replica.revision(), watchHoldS, result -> watchEnded(result, sentAt));
    }

    private void watchEnded(ReadResult result, double sentAt) {
        boolean applied = false;
        try {
            applied = applyResult(result, sentAt);
        } finally {
            loop.schedule(applied ? minIntervalS : RETRY_INTERVALS * minIntervalS, this::watch);
        }
        consecutiveWatchFailures = applied ? 0 : consecutiveWatchFailures + 1;
        if (consecutiveWatchFailures > MAX_WATCH_FAILURES
                && result instanceof ReadResult.Failed
                && loop.now() - lastConfirmedAt > MAX_HOLDS_WITHOUT_CONTACT * watchHoldS) {
            // An answer too large to read fails for ever; a reading in pages does not.
            consecutiveWatchFailures = 0;
            load();
        }
    }

    /** Returns whether the replica holds all changes up to the time of sending now. */
    private boolean applyResult(ReadResult result, double sentAt) {
        if (result instanceof ReadResult.Read read) {
            replica.applyChanges(read.entries(), read.revision());
            // After the changes have been applied: of each it is known that it had not happened as
            // of the confirmation before.
            lastConfirmedAt = Math.max(lastConfirmedAt, sentAt);
            return true;
        }
        if (result instanceof ReadResult.RevisionTooOld) {
            load();
        }
        return false;
    }

    // ---- full reading

    private void load() {
        if (!loading) {
            loading = true;
            new SnapshotRead().readPage("");
        }
    }

    /** Reads all keys page by page, and then replaces the replica's contents. */
    private final class SnapshotRead {

        private static final long UNKNOWN = -1;

        private final double startedAt = loop.now();
        private final List<KeyValue> entries = new ArrayList<>();

        /**
         * The revision of the first page: later pages may be newer, and the watch since the first
         * brings what they have more.
         */
        private long revision = UNKNOWN;

        void readPage(String after) {
            store.readPage(after, result -> pageRead(after, result));
        }

        private void pageRead(String after, ReadResult result) {
            if (!(result instanceof ReadResult.Read page)) {
                loop.schedule(RETRY_INTERVALS * minIntervalS, () -> retry(after));
                return;
            }
            entries.addAll(page.entries());
            if (revision == UNKNOWN) {
                revision = page.revision();
            }
            if (page.hasMore() && !page.entries().isEmpty()) {
                readPage(page.entries().get(page.entries().size() - 1).key());
            } else {
                finish();
            }
        }

        private void retry(String after) {
            if (loaded && lastConfirmedAt > startedAt) {
                // A watch has been answered since: it was an outage, and a reading would only
                // burden
                // its end.
                loading = false;
            } else {
                readPage(after);
            }
        }

        private void finish() {
            loading = false;
            try {
                replica.loadSnapshot(entries, revision);
                loaded = true;
            } finally {
                if (!loaded) {
                    loop.schedule(RETRY_INTERVALS * minIntervalS, ReplicaSynchronizer.this::load);
                }
            }
        }
    }
}
