package io.pepperfield.predict;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * When jobs with dependencies are predicted to become ready: WIRE looks ahead along the workflow's
 * graph in the same way, and counts what will be ready at the start of the next interval. Times are
 * in seconds from now.
 */
public final class ReadinessPredictor {

    private final Function<String, Collection<String>> dependencies;
    private final ToDoubleFunction<String> remainingTime;
    private final Map<String, Double> secondsUntilReady = new HashMap<>();
    private final Map<String, Double> secondsUntilDone = new HashMap<>();

    /**
     * @param dependencies the unfinished dependencies of a job, without cycles
     * @param remainingTime seconds that a job still takes, from now or from when it is ready
     */
    public ReadinessPredictor(
            Function<String, Collection<String>> dependencies,
            ToDoubleFunction<String> remainingTime) {
        this.dependencies = dependencies;
        this.remainingTime = remainingTime;
    }

    /**
     * Seconds until the last dependency of the job is predicted to be done. Without recursion,
     * since chains may be long; each edge is visited a fixed number of times, however often this is
     * called.
     */
    public double secondsUntilReady(String job) {
        ArrayDeque<String> open = new ArrayDeque<>();
        open.push(job);
        while (!open.isEmpty()) {
            String top = open.peek();
            if (secondsUntilReady.containsKey(top)) {
                // A dependency of several jobs, reached through another of them meanwhile.
                open.pop();
                continue;
            }
            double latest = 0;
            boolean complete = true;
            for (String dependency : dependencies.apply(top)) {
                if (secondsUntilReady.containsKey(dependency)) {
                    latest = Math.max(latest, secondsUntilDone(dependency));
                } else {
                    open.push(dependency);
                    complete = false;
                }
            }
            if (complete) {
                open.pop();
                secondsUntilReady.put(top, latest);
            }
        }
        return secondsUntilReady.get(job);
    }

    /**
     * Seconds until a job is predicted to be done whose readiness is known. Kept, since a fan of
     * jobs asks for the same one thousands of times.
     */
    private double secondsUntilDone(String job) {
        return secondsUntilDone.computeIfAbsent(
                job, id -> secondsUntilReady.get(id) + remainingTime.applyAsDouble(id));
    }
}
