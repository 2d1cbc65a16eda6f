package io.pepperfield.standin;

import io.pepperfield.loop.Loop;
import java.util.PriorityQueue;

/**
 * A loop in simulated time: commands run only when the test advances the time to their due time.
 */
public final class SimulatedLoop implements Loop {

    /** A command and the time at which it is due. */
    private record Timer(double dueAt, Runnable command) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> Double.compare(a.dueAt, b.dueAt));
    private double now;

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
        schedule(0, command);
    }

    @Override
    public void schedule(double seconds, Runnable command) {
        timers.add(new Timer(now + seconds, command));
    }

    /** Advances the time and runs all commands that fall due. */
    public void run(double until) {
        while (!timers.isEmpty() && timers.peek().dueAt <= until) {
            Timer timer = timers.poll();
            now = timer.dueAt;
            timer.command.run();
        }
        now = until;
    }
}
