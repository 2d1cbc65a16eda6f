package io.pepperfield.store;

import io.pepperfield.loop.Loop;
import io.pepperfield.store.KeyValueStore.KeyValue;
import io.pepperfield.store.KeyValueStore.ReadResult;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Keeps the replica up to date by a watch, and confirms on demand, like a read index, that it is
 * current. An answer such as "not ended yet" or 404 is valid only if the state service confirmed it
 * after the request had arrived. Confined to the event loop's thread.
 */
public final class ReplicaSynchronizer {

    /** Maximum age of a confirmation; users wait 2 s for an answer. */
    private static final double MAX_ANSWER_AGE_S = 2;

    /** Delay before a retry, as a multiple of the minimum request interval. */
    private static final int RETRY_INTERVAL_MULTIPLE = 4;

    /**
     * Consecutive failed watches after which all keys are read again, if the time without a
     * confirmation also exceeds {@link #MAX_HOLDS_WITHOUT_CONFIRMATION} hold times.
     */
    private static final int MAX_WATCH_FAILURES = 3;

    private static final int MAX_HOLDS_WITHOUT_CONFIRMATION = 8;

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
     * @param watchHoldS seconds for which the service holds a watch open while there are no changes
     * @param minIntervalS minimum interval in seconds between two requests of one kind, which
     *     limits their rate
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

    /** Loads the replica and starts to watch for changes. */
    public void start() {
        load();
        watch();
    }

    /** Whether a full read of all keys has completed. */
    public boolean isLoaded() {
        return loaded;
    }

    /**
     * Loop time in seconds at which the latest request was sent whose response brought the replica
     * up to date.
     */
    public double lastConfirmedAt() {
        return lastConfirmedAt;
    }

    // ---- read index

    /**
     * Calls back with true once the replica holds all changes committed before this call, or with
     * false if the state service did not confirm this in time.
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
                    // Scheduled first, so that an exception below does not stop all later requests.
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
            // If this process was suspended meanwhile, the response is too old to be a valid answer
            // for the callers that are still waiting.
            current = applyResult(result, sentAt) && loop.now() - sentAt <= MAX_ANSWER_AGE_S;
        } finally {
            completeAll(reads, current);
        }
    }

    /**
     * Completes every read, even if the callback of another one throws: a new leader whose recovery
     * fails must not leave users without an answer.
     */
    private static void completeAll(List<Consumer<Boolean>> reads, boolean current) {
        RuntimeException failure = null;
        for (Consumer<Boolean> read : reads) {
            try {
                read.accept(current);
            } catch (RuntimeException e) {
                failure = e;
            }
        }
        if (failure != null) {
            throw failure;
        }
    }

    // ---- watch

    private void watch() {
        if (!loaded) {
            loop.schedule(RETRY_INTERVAL_MULTIPLE * minIntervalS, this::watch);
            return;
        }
        double sentAt = loop.now();
        store.watch(replica.revision(), watchHoldS, result -> onWatchResult(result, sentAt));
    }

    private void onWatchResult(ReadResult result, double sentAt) {
        boolean applied = false;
        try {
            applied = applyResult(result, sentAt);
        } finally {
            loop.schedule(
                    applied ? minIntervalS : RETRY_INTERVAL_MULTIPLE * minIntervalS, this::watch);
        }
        consecutiveWatchFailures = applied ? 0 : consecutiveWatchFailures + 1;
        if (consecutiveWatchFailures > MAX_WATCH_FAILURES
                && result instanceof ReadResult.Failed
                && loop.now() - lastConfirmedAt > MAX_HOLDS_WITHOUT_CONFIRMATION * watchHoldS) {
            // A response that is too large fails every time; a paged read does not.
            consecutiveWatchFailures = 0;
            load();
        }
    }

    /**
     * Returns whether the replica now holds all changes up to the time at which the request was
     * sent.
     */
    private boolean applyResult(ReadResult result, double sentAt) {
        if (result instanceof ReadResult.Read read) {
            replica.applyChanges(read.entries(), read.revision());
            // Updated only after the changes have been applied, so that during their application
            // lastConfirmedAt is a time at which none of them had happened.
            lastConfirmedAt = Math.max(lastConfirmedAt, sentAt);
            return true;
        }
        if (result instanceof ReadResult.RevisionTooOld) {
            load();
        }
        return false;
    }

    // ---- full read

    private void load() {
        if (!loading) {
            loading = true;
            new SnapshotRead().readPage("");
        }
    }

    /** Reads all keys page by page and then loads them into the replica. */
    private final class SnapshotRead {

        private static final long UNKNOWN = -1;

        private final double startedAt = loop.now();
        private final List<KeyValue> entries = new ArrayList<>();

        /**
         * The revision of the first page. Later pages may be newer; the watch from this revision
         * delivers their additional changes.
         */
        private long revision = UNKNOWN;

        void readPage(String after) {
            store.readPage(after, result -> onPageResult(after, result));
        }

        private void onPageResult(String after, ReadResult result) {
            if (!(result instanceof ReadResult.Read page)) {
                loop.schedule(RETRY_INTERVAL_MULTIPLE * minIntervalS, () -> retry(after));
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
                // A watch has succeeded since the read started, so the failure was an outage; a
                // full read would only add load to the recovering service.
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
                    loop.schedule(
                            RETRY_INTERVAL_MULTIPLE * minIntervalS, ReplicaSynchronizer.this::load);
                }
            }
        }
    }
}
