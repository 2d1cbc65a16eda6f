package io.pepperfield.loop;

/** The event loop that owns all state, as its users see it: a clock and a queue. */
public interface Loop {

    /** Steady time in seconds. */
    double now();

    /** Time of day in milliseconds, within the bound of the settings. */
    long wallClockMs();

    /** Runs the command on the event loop, after those already queued. */
    void post(Runnable command);

    /** Runs the command on the event loop once that many seconds have passed. */
    void schedule(double seconds, Runnable command);
}
