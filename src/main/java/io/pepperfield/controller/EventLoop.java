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
 * The one thread that owns all state of a controller: it runs commands in batches, and then once
 * what follows from a batch. Other threads only {@link #post} and {@link #stop}.
 */
public final class EventLoop implements Loop {

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int MAX_BATCH_SIZE = 256;
    private static final double NANOS_PER_S = 1e9;

    /** A command to run at that time since the start; the sequence decides among equal times. */
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

    /** The thread that runs commands; null before {@link #run}. */
    private volatile Thread owner;

    /**
     * Sets what follows a batch; called before {@link #run}.
     *
     * @param afterFailure run when a command threw, so that state may be half-written
     */
    public void setHandlers(Runnable afterBatch, Runnable afterFailure) {
        this.afterBatch = afterBatch;
        this.afterFailure = afterFailure;
    }

    @Override
    public double now() {
        return elapsedNanos() / NANOS_PER_S;
    }

    @Override
    public long wallClockMs() {
        return System.currentTimeMillis();
    }

    @Override
    public void post(Runnable command) {
        commands.add(command);
    }

    /** Called on the owner thread only, and before it runs; other threads post. */
    @Override
    public void schedule(double seconds, Runnable command) {
        assert owner == null || owner == Thread.currentThread() : "timer set on another thread";
        long delayNanos = (long) (Math.max(0, seconds) * NANOS_PER_S);
        timers.add(new Timer(elapsedNanos() + delayNanos, nextTimerSequence++, command));
    }

    /** Ends {@link #run} after the current batch; may be called on any thread. */
    public void stop() {
        stopped = true;
        commands.add(() -> {});
    }

    /** Runs commands and timers on the calling thread, the owner from now on, until stopped. */
    public void run() {
        owner = Thread.currentThread();
        List<Runnable> batch = new ArrayList<>();
        while (!stopped) {
            try {
                takeCommands(batch);
            } catch (InterruptedException interrupted) {
                return;
            }
            takeDueTimers(batch);
            batch.forEach(this::runGuarded);
            batch.clear();
            runGuarded(afterBatch);
        }
    }

    /** Waits for the first command until a timer is due, and takes what has come with it. */
    private void takeCommands(List<Runnable> batch) throws InterruptedException {
        long waitNanos =
                timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueNanos - elapsedNanos();
        Runnable first =
                waitNanos > 0 ? commands.poll(waitNanos, TimeUnit.NANOSECONDS) : commands.poll();
        if (first != null) {
            batch.add(first);
            commands.drainTo(batch, MAX_BATCH_SIZE);
        }
    }

    private void takeDueTimers(List<Runnable> batch) {
        long now = elapsedNanos();
        while (!timers.isEmpty() && timers.peek().dueNanos <= now) {
            batch.add(timers.poll().command);
        }
    }

    private long elapsedNanos() {
        return System.nanoTime() - startNanos;
    }

    private void runGuarded(Runnable command) {
        try {
            command.run();
        } catch (RuntimeException e) {
            LOG.error("command failed", e);
            try {
                afterFailure.run();
            } catch (RuntimeException again) {
                LOG.error("stepping down after a failed command failed", again);
            }
        }
    }
}
