package io.pepperfield.loop;

/**
 * Interface of the single-threaded event loop to which all state is confined: a clock and a queue.
 */
public interface Loop {

    /** Monotonic time in seconds. */
    double now();

    /** Wall-clock time in epoch milliseconds, accurate to within the configured clock error. */
    long wallClockMs();

    /** Runs the command on the event loop after the commands that are already queued. */
    void post(Runnable command);

    /** Runs the command on the event loop after the given delay in seconds. */
    void schedule(double delayS, Runnable command);
}
