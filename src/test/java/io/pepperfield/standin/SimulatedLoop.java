package io.pepperfield.standin;

import io.pepperfield.loop.Loop;
import java.util.PriorityQueue;

/**
 * An owner's loop in simulated time: nothing happens but what is due when the test lets time pass.
 */
public final class SimulatedLoop implements Loop {

    /** A command and the time at which it is due. */
    private record Timer(double at, Runnable run) {}

    private final PriorityQueue<Timer> timers =
            new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
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

    /** Lets time pass until then. */
    public void run(double until) {
        while (!timers.isEmpty() && timers.peek().at <= until) {
            Timer timer = timers.poll();
            now = timer.at;
            timer.run.run();
        }
        now = until;
    }
}
