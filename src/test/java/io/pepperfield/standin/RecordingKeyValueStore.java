package io.pepperfield.standin;

import io.pepperfield.loop.Loop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A state service that records transactions without responding, and a loop with a manual clock. The
 * test completes each transaction through {@link #pendingCallback}.
 */
public final class RecordingKeyValueStore implements NoOpKeyValueStore, Loop {

    /** The keys written or deleted by each transaction. */
    public final List<List<String>> writtenKeys = new ArrayList<>();

    /** The keys that each transaction requires not to exist. */
    public final List<List<String>> absentKeys = new ArrayList<>();

    private final List<Runnable> scheduled = new ArrayList<>();

    /** Callback for the outcome of the latest transaction. */
    public Consumer<CompareAndSwapOutcome> pendingCallback;

    public double now;

    @Override
    public void compareAndSwap(
            RequestPriority priority,
            List<Precondition> guards,
            List<Mutation> changes,
            Consumer<CompareAndSwapOutcome> onResult) {
        writtenKeys.add(changes.stream().map(Mutation::key).toList());
        absentKeys.add(
                guards.stream()
                        .filter(guard -> guard.modRevision() == 0)
                        .map(Precondition::key)
                        .toList());
        pendingCallback = onResult;
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public long wallClockMs() {
        return 0;
    }

    @Override
    public void post(Runnable command) {
        command.run();
    }

    @Override
    public void schedule(double seconds, Runnable command) {
        scheduled.add(command);
    }

    /** Runs all scheduled commands, whatever their delay. */
    public void runScheduled() {
        List<Runnable> due = List.copyOf(scheduled);
        scheduled.clear();
        due.forEach(Runnable::run);
    }
}
