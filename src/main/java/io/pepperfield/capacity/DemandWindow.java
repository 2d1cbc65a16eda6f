package io.pepperfield.capacity;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * What was asked for of late, in CPUs: the expected work that WIRE's projection of submitted tasks
 * cannot see.
 */
public final class DemandWindow {

    /** The CPUs asked for at a loop time. */
    private record Sample(double sampledAt, double cpus) {}

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private final double retentionS;

    /** Creates an empty window that keeps samples for {@code retentionS} seconds. */
    public DemandWindow(double lengthS) {
        this.retentionS = lengthS;
    }

    /** Records CPUs that were asked for at loop time {@code now}, and drops the oldest samples. */
    public void add(double now, double cpus) {
        samples.addLast(new Sample(now, cpus));
        while (samples.peekFirst().sampledAt < now - retentionS) {
            samples.pollFirst();
        }
    }

    /** The demand that this share of the samples does not exceed. */
    public double quantile(double share) {
        if (samples.isEmpty()) {
            return 0;
        }
        double[] sorted = samples.stream().mapToDouble(Sample::cpus).toArray();
        Arrays.sort(sorted);
        return sorted[(int) Math.min(sorted.length - 1, Math.floor(share * sorted.length))];
    }
}
