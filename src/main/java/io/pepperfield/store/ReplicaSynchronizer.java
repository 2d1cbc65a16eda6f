package io.pepperfield.store;

import io.pepperfield.loop.Loop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Keeps the replica up to date, and confirms on demand that it is: an answer such as "not ended
 * yet" or 404 holds only if the state service said so after the question was asked.
 */
public final class ReplicaSynchronizer {

    /** Users wait 2 s for an answer. */
    private static final double MAX_ANSWER_AGE_S = 2;

    private final Loop loop;
    private final KeyValueStore state;
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
     * @param holdS how long the service holds a follow without news
     * @param spacingS least time between two questions of one kind, which bounds their number per
     *     second
     */
    public ReplicaSynchronizer(
            Loop loop, KeyValueStore state, Replica replica, double holdS, double spacingS) {
        this.loop = loop;
        this.state = state;
        this.replica = replica;
        this.watchHoldS = holdS;
        this.minIntervalS = spacingS;
    }

    /** Loads the replica and begins to follow the changes. */
    public void start() {
        load();
        watch();
    }

    /** Whether all keys have been read once. */
    public boolean loaded() {
        return loaded;
    }

    /** When the last question was sent that was answered with all changes up to then. */
    public double lastConfirmedAt() {
        return lastConfirmedAt;
    }

    /** Calls back with true once the replica holds everything that was decided before this call. */
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
        List<Consumer<Boolean>> asked = pendingReads;
        pendingReads = new ArrayList<>();
        double sent = loop.now();
        state.watch(
                replica.revision(),
                0,
                result -> {
                    // First of all: whatever throws below must not end all questions of this node.
                    loop.after(
                            minIntervalS,
                            () -> {
                                readIndexInFlight = false;
                                if (!pendingReads.isEmpty()) {
                                    requestReadIndex();
                                }
                            });
                    boolean current = false;
                    try {
                        // An answer that this process slept over says how things stood then, not
                        // when those asked who still wait.
                        current =
                                applyResult(result, sent) && loop.now() - sent <= MAX_ANSWER_AGE_S;
                    } finally {
                        completeAll(asked, current);
                    }
                });
    }

    /**
     * Each is told, even if another throws: a new leader that fails over its books must not cost
     * users their answers.
     */
    private static void completeAll(List<Consumer<Boolean>> asked, boolean current) {
        RuntimeException thrown = null;
        for (Consumer<Boolean> done : asked) {
            try {
                done.accept(current);
            } catch (RuntimeException e) {
                thrown = e;
            }
        }
        if (thrown != null) {
            throw thrown;
        }
    }

    private void watch() {
        if (!loaded) {
            loop.after(4 * minIntervalS, this::watch);
            return;
        }
        double sent = loop.now();
        state.watch(
                replica.revision(),
                watchHoldS,
                result -> {
                    boolean fine = false;
                    try {
                        fine = applyResult(result, sent);
                    } finally {
                        loop.after(fine ? minIntervalS : 4 * minIntervalS, this::watch);
                    }
                    consecutiveWatchFailures = fine ? 0 : consecutiveWatchFailures + 1;
                    if (consecutiveWatchFailures > 3
                            && result instanceof KeyValueStore.ReadResult.Failed
                            && loop.now() - lastConfirmedAt > 8 * watchHoldS) {
                        // An answer too large to read fails for ever; a reading in pages does not.
                        consecutiveWatchFailures = 0;
                        load();
                    }
                });
    }

    private boolean applyResult(KeyValueStore.ReadResult result, double sent) {
        if (result instanceof KeyValueStore.ReadResult.Read read) {
            replica.applyChanges(read.entries(), read.revision());
            // After the news has been taken: of each change it is known that it had not happened as
            // of the contact before.
            lastConfirmedAt = Math.max(lastConfirmedAt, sent);
            return true;
        }
        if (result instanceof KeyValueStore.ReadResult.RevisionTooOld) {
            load();
        }
        return false;
    }

    private void load() {
        if (!loading) {
            loading = true;
            loadPage("", new ArrayList<>(), -1, loop.now());
        }
    }

    private void loadPage(
            String after, List<KeyValueStore.KeyValue> all, long asOf, double wantedAt) {
        state.readPage(
                after,
                result -> {
                    if (!(result instanceof KeyValueStore.ReadResult.Read read)) {
                        loop.after(
                                4 * minIntervalS,
                                () -> {
                                    if (loaded && lastConfirmedAt > wantedAt) {
                                        // A follow has been answered since: it was an outage, and a
                                        // reading would only burden its end.
                                        loading = false;
                                    } else {
                                        loadPage(after, all, asOf, wantedAt);
                                    }
                                });
                        return;
                    }
                    all.addAll(read.entries());
                    // Later pages may be newer than the first; the follow since the first brings
                    // what they have more.
                    long first = asOf < 0 ? read.revision() : asOf;
                    if (read.hasMore() && !read.entries().isEmpty()) {
                        loadPage(
                                read.entries().get(read.entries().size() - 1).key(),
                                all,
                                first,
                                wantedAt);
                        return;
                    }
                    loading = false;
                    try {
                        replica.loadSnapshot(all, first);
                        loaded = true;
                    } finally {
                        if (!loaded) {
                            loop.after(4 * minIntervalS, this::load);
                        }
                    }
                });
    }
}
