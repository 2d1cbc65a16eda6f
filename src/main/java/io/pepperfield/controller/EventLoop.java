package io.pepperfield.controller;

import io.pepperfield.loop.Loop;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The one thread that owns all state. It takes commands from its queue in batches; what follows
 * from a batch is done once.
 */
public final class EventLoop implements Loop {

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int MAX_BATCH_SIZE = 256;

    /** A command to run at a time in nanoseconds; {@code order} decides among equal times. */
    private record Timer(long dueNanos, long sequence, Runnable command)
            implements Comparable<Timer> {
        @Override
        public int compareTo(Timer other) {
            return dueNanos != other.dueNanos
                    ? Long.compare(dueNanos, other.dueNanos)
                    : Long.compare(sequence, other.sequence);
        }
    }

    private final LinkedBlockingQueue<Runnable> commands = new LinkedBlockingQueue<>();
    private final PriorityQueue<Timer> timers = new PriorityQueue<>();
    private final long startNanos = System.nanoTime();
    private long nextTimerSequence;
    private Runnable afterBatch = () -> {};
    private Runnable afterFailure = () -> {};
    private volatile boolean stopped;

    /**
     * @param afterFailure what to do when a command threw and the books may be half-written
     */
    public void setHandlers(Runnable afterBatch, Runnable afterFailure) {
        this.afterBatch = afterBatch;
        this.afterFailure = afterFailure;
    }

    @Override
    public double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    @Override
    public long wallMs() {
        return System.currentTimeMillis();
    }

    @Override
    public void post(Runnable command) {
        commands.add(command);
    }

    /** Called on its own thread only; other threads post. */
    @Override
    public void after(double seconds, Runnable command) {
        timers.add(
                new Timer(
                        System.nanoTime() - startNanos + (long) (Math.max(0, seconds) * 1e9),
                        nextTimerSequence++,
                        command));
    }

    /** Ends {@link #run} after the current batch; may be called on any thread. */
    public void stop() {
        stopped = true;
        commands.add(() -> {});
    }

    /** Works until stopped. */
    public void run() {
        List<Runnable> batch = new ArrayList<>();
        while (!stopped) {
            try {
                long wait =
                        timers.isEmpty()
                                ? Long.MAX_VALUE
                                : timers.peek().dueNanos - (System.nanoTime() - startNanos);
                Runnable first =
                        wait > 0 ? commands.poll(wait, TimeUnit.NANOSECONDS) : commands.poll();
                if (first != null) {
                    batch.add(first);
                    commands.drainTo(batch, MAX_BATCH_SIZE);
                }
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime() - startNanos;
            while (!timers.isEmpty() && timers.peek().dueNanos <= now) {
                batch.add(timers.poll().command);
            }
            batch.forEach(this::runGuarded);
            batch.clear();
            runGuarded(afterBatch);
        }
    }

    private void runGuarded(Runnable command) {
        try {
            command.run();
        } catch (RuntimeException e) {
            LOG.error("a command failed", e);
            try {
                afterFailure.run();
            } catch (RuntimeException again) {
                LOG.error("and so did giving up the lead", again);
            }
        }
    }
}
