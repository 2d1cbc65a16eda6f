package io.pepperfield.predict;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Predicts when jobs with dependencies become ready. WIRE looks ahead along the workflow graph in
 * the same way, and counts the tasks that will be ready when the next interval begins. Times are in
 * seconds from now.
 */
public final class ReadinessPredictor {

    private final Function<String, Collection<String>> dependencies;
    private final ToDoubleFunction<String> remainingTime;
    private final Map<String, Double> secondsUntilReady = new HashMap<>();
    private final Map<String, Double> secondsUntilDone = new HashMap<>();

    /**
     * @param dependencies returns the unfinished dependencies of a job; must be free of cycles
     * @param remainingTime returns the seconds that a job still takes, from now or from when it is
     *     ready
     */
    public ReadinessPredictor(
            Function<String, Collection<String>> dependencies,
            ToDoubleFunction<String> remainingTime) {
        this.dependencies = dependencies;
        this.remainingTime = remainingTime;
    }

    /**
     * Returns the seconds until the last dependency of the job is predicted to be done. Iterative,
     * since dependency chains may be long. Each edge is visited a fixed number of times over all
     * calls.
     */
    public double secondsUntilReady(String job) {
        ArrayDeque<String> stack = new ArrayDeque<>();
        stack.push(job);
        while (!stack.isEmpty()) {
            String current = stack.peek();
            if (secondsUntilReady.containsKey(current)) {
                // Already computed: a shared dependency that was reached through another job.
                stack.pop();
                continue;
            }
            double latest = 0;
            boolean complete = true;
            for (String dependency : dependencies.apply(current)) {
                if (secondsUntilReady.containsKey(dependency)) {
                    latest = Math.max(latest, secondsUntilDone(dependency));
                } else {
                    stack.push(dependency);
                    complete = false;
                }
            }
            if (complete) {
                stack.pop();
                secondsUntilReady.put(current, latest);
            }
        }
        return secondsUntilReady.get(job);
    }

    /**
     * Returns the seconds until a job whose readiness is known is predicted to be done. Cached,
     * since thousands of jobs may depend on the same one.
     */
    private double secondsUntilDone(String job) {
        return secondsUntilDone.computeIfAbsent(
                job, id -> secondsUntilReady.get(id) + remainingTime.applyAsDouble(id));
    }
}
