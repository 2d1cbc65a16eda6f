package io.pepperfield.standin;

import io.pepperfield.loop.Loop;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * A state service that only takes transactions, which the test answers when it likes, and a clock
 * that the test sets.
 */
public final class RecordingKeyValueStore implements NoOpKeyValueStore, Loop {

    /** The keys of each transaction. */
    public final List<List<String>> writtenKeys = new ArrayList<>();

    /** The keys that each of them wants not to exist. */
    public final List<List<String>> absentKeys = new ArrayList<>();

    private final List<Runnable> waiting = new ArrayList<>();

    /** To be called with the answer to the last one. */
    public Consumer<CompareAndSwapOutcome> pendingCallback;

    public double now;

    @Override
    public void compareAndSwap(
            RequestPriority urgency,
            List<Precondition> guards,
            List<Mutation> changes,
            Consumer<CompareAndSwapOutcome> done) {
        writtenKeys.add(changes.stream().map(Mutation::key).toList());
        absentKeys.add(
                guards.stream()
                        .filter(guard -> guard.modRevision() == 0)
                        .map(Precondition::key)
                        .toList());
        pendingCallback = done;
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
        waiting.add(command);
    }

    /** What was put off for a while is due now. */
    public void runScheduled() {
        List<Runnable> due = List.copyOf(waiting);
        waiting.clear();
        due.forEach(Runnable::run);
    }
}
