package io.pepperfield.store;

import io.pepperfield.loop.Loop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Keeps the replica up to date, and confirms on demand that it is: an answer such as "not ended
 * yet" or 404 holds only if the state service said so after the question was asked.
 */
public final class Sync {

    /** Users wait 2 s for an answer. */
    private static final double MOST_AGE_S = 2;

    private final Loop loop;
    private final StateService state;
    private final Replica replica;
    private final double holdS;
    private final double spacingS;
    private boolean loaded;
    private boolean loading;
    private boolean confirming;
    private double contactAt = Double.NEGATIVE_INFINITY;
    private List<Consumer<Boolean>> waiting = new ArrayList<>();
    private int failures;

    /**
     * @param holdS how long the service holds a follow without news
     * @param spacingS least time between two questions of one kind, which bounds their number per
     *     second
     */
    public Sync(Loop loop, StateService state, Replica replica, double holdS, double spacingS) {
        this.loop = loop;
        this.state = state;
        this.replica = replica;
        this.holdS = holdS;
        this.spacingS = spacingS;
    }

    /** Loads the replica and begins to follow the changes. */
    public void start() {
        load();
        follow();
    }

    /** Whether all keys have been read once. */
    public boolean loaded() {
        return loaded;
    }

    /** When the last question was sent that was answered with all changes up to then. */
    public double contactAt() {
        return contactAt;
    }

    /** Calls back with true once the replica holds everything that was decided before this call. */
    public void confirm(Consumer<Boolean> done) {
        if (!loaded) {
            done.accept(false);
            return;
        }
        waiting.add(done);
        if (!confirming) {
            ask();
        }
    }

    private void ask() {
        confirming = true;
        List<Consumer<Boolean>> asked = waiting;
        waiting = new ArrayList<>();
        double sent = loop.now();
        state.follow(
                replica.revision(),
                0,
                result -> {
                    // First of all: whatever throws below must not end all questions of this node.
                    loop.after(
                            spacingS,
                            () -> {
                                confirming = false;
                                if (!waiting.isEmpty()) {
                                    ask();
                                }
                            });
                    boolean current = false;
                    try {
                        // An answer that this process slept over says how things stood then, not
                        // when those asked who still wait.
                        current = take(result, sent) && loop.now() - sent <= MOST_AGE_S;
                    } finally {
                        tell(asked, current);
                    }
                });
    }

    /**
     * Each is told, even if another throws: a new leader that fails over its books must not cost
     * users their answers.
     */
    private static void tell(List<Consumer<Boolean>> asked, boolean current) {
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

    private void follow() {
        if (!loaded) {
            loop.after(4 * spacingS, this::follow);
            return;
        }
        double sent = loop.now();
        state.follow(
                replica.revision(),
                holdS,
                result -> {
                    boolean fine = false;
                    try {
                        fine = take(result, sent);
                    } finally {
                        loop.after(fine ? spacingS : 4 * spacingS, this::follow);
                    }
                    failures = fine ? 0 : failures + 1;
                    if (failures > 3
                            && result instanceof StateService.ReadResult.Failed
                            && loop.now() - contactAt > 8 * holdS) {
                        // An answer too large to read fails for ever; a reading in pages does not.
                        failures = 0;
                        load();
                    }
                });
    }

    private boolean take(StateService.ReadResult result, double sent) {
        if (result instanceof StateService.ReadResult.Read read) {
            replica.advance(read.items(), read.revision());
            // After the news has been taken: of each change it is known that it had not happened as
            // of the contact before.
            contactAt = Math.max(contactAt, sent);
            return true;
        }
        if (result instanceof StateService.ReadResult.TooOld) {
            load();
        }
        return false;
    }

    private void load() {
        if (!loading) {
            loading = true;
            page("", new ArrayList<>(), -1, loop.now());
        }
    }

    private void page(String after, List<StateService.Item> all, long asOf, double wantedAt) {
        state.range(
                after,
                result -> {
                    if (!(result instanceof StateService.ReadResult.Read read)) {
                        loop.after(
                                4 * spacingS,
                                () -> {
                                    if (loaded && contactAt > wantedAt) {
                                        // A follow has been answered since: it was an outage, and a
                                        // reading would only burden its end.
                                        loading = false;
                                    } else {
                                        page(after, all, asOf, wantedAt);
                                    }
                                });
                        return;
                    }
                    all.addAll(read.items());
                    // Later pages may be newer than the first; the follow since the first brings
                    // what they have more.
                    long first = asOf < 0 ? read.revision() : asOf;
                    if (read.more() && !read.items().isEmpty()) {
                        page(read.items().get(read.items().size() - 1).key(), all, first, wantedAt);
                        return;
                    }
                    loading = false;
                    try {
                        replica.reset(all, first);
                        loaded = true;
                    } finally {
                        if (!loaded) {
                            loop.after(4 * spacingS, this::load);
                        }
                    }
                });
    }
}
