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
 * The single thread that owns all state of a controller. Runs commands in batches, and a handler
 * after each batch. Other threads may call only {@link #post} and {@link #stop}.
 */
public final class EventLoop implements Loop {

    private static final Logger LOG = LoggerFactory.getLogger(EventLoop.class);
    private static final int MAX_BATCH_SIZE = 256;
    private static final double NANOS_PER_S = 1e9;

    /**
     * A command that is due at a time since the start of the loop; timers that are due at the same
     * time run in order of their sequence numbers.
     */
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

    /** The thread that runs the commands; null before {@link #run}. */
    private volatile Thread owner;

    /**
     * Sets the handlers. Must be called before {@link #run}.
     *
     * @param afterBatch runs after each batch of commands
     * @param afterFailure runs after a command threw an exception, which may have left state
     *     inconsistent
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

    /**
     * May be called only on the owner thread, or before {@link #run}; other threads use {@link
     * #post}.
     */
    @Override
    public void schedule(double seconds, Runnable command) {
        assert owner == null || owner == Thread.currentThread()
                : "timer set by a thread other than the event loop's";
        long delayNanos = (long) (Math.max(0, seconds) * NANOS_PER_S);
        timers.add(new Timer(elapsedNanos() + delayNanos, nextTimerSequence++, command));
    }

    /** Makes {@link #run} return after the current batch. May be called on any thread. */
    public void stop() {
        stopped = true;
        commands.add(() -> {});
    }

    /** Runs commands and timers until stopped. The calling thread becomes the owner thread. */
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

    /**
     * Waits for a command, but no longer than until the next timer is due, and adds it and further
     * queued commands to the batch.
     */
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
            LOG.error("command on the event loop threw an exception", e);
            try {
                afterFailure.run();
            } catch (RuntimeException handlerFailure) {
                LOG.error(
                        "failure handler threw an exception after a failed command",
                        handlerFailure);
            }
        }
    }
}
