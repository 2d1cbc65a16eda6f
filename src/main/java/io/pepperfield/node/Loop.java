package io.pepperfield.node;

/** What the one owner of all state offers to the slices: its clock and its queue. */
public interface Loop {

    /** Steady time in seconds. */
    double now();

    /** Time of day in milliseconds, within the bound of the settings. */
    long wallMs();

    /** Runs the command on the owner, after those already queued. */
    void post(Runnable command);

    /** Runs the command on the owner once that many seconds have passed. */
    void after(double seconds, Runnable command);
}
