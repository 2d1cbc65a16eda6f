package io.pepperfield.predict;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * When jobs that need others are predicted to become ready: WIRE looks ahead along the workflow's
 * graph in the same way, and counts what will be ready at the start of the next interval.
 */
public final class ReadinessPredictor {

    private final Function<String, Collection<String>> dependencies;
    private final ToDoubleFunction<String> remainingTime;
    private final Map<String, Double> readyIn = new HashMap<>();
    private final Map<String, Double> doneIn = new HashMap<>();

    /**
     * @param needs the jobs that a job needs and that are not done, without cycles
     * @param remaining how long a job still takes, from now or from when it is ready
     */
    public ReadinessPredictor(
            Function<String, Collection<String>> needs, ToDoubleFunction<String> remaining) {
        this.dependencies = needs;
        this.remainingTime = remaining;
    }

    /**
     * Seconds until the last job that it needs is predicted to be done. Without recursion, since
     * chains may be long; each edge is gone over a fixed number of times, however often it is
     * asked.
     */
    public double readyIn(String job) {
        ArrayDeque<String> open = new ArrayDeque<>();
        open.push(job);
        while (!open.isEmpty()) {
            String top = open.peek();
            if (readyIn.containsKey(top)) {
                // Needed by several, and reached through another of them meanwhile.
                open.pop();
                continue;
            }
            double latest = 0;
            boolean known = true;
            for (String needed : dependencies.apply(top)) {
                if (readyIn.containsKey(needed)) {
                    latest = Math.max(latest, doneIn(needed));
                } else {
                    open.push(needed);
                    known = false;
                }
            }
            if (known) {
                open.pop();
                readyIn.put(top, latest);
            }
        }
        return readyIn.get(job);
    }

    /** Of a job whose readiness is known; a fan asks for the same one thousands of times. */
    private double doneIn(String job) {
        return doneIn.computeIfAbsent(job, id -> readyIn.get(id) + remainingTime.applyAsDouble(id));
    }
}
