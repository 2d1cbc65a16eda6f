package io.pepperfield.capacity;

import java.util.ArrayDeque;
import java.util.Arrays;

/**
 * Sliding window over recent CPU demand. Represents expected work that WIRE's projection of
 * submitted tasks cannot see.
 */
public final class DemandWindow {

    /** CPU demand at a loop time in seconds. */
    private record Sample(double sampledAt, double cpus) {}

    private final ArrayDeque<Sample> samples = new ArrayDeque<>();
    private final double retentionS;

    /** Creates an empty window that keeps samples for {@code retentionS} seconds. */
    public DemandWindow(double retentionS) {
        this.retentionS = retentionS;
    }

    /** Records the CPU demand at loop time {@code now} and evicts samples older than the window. */
    public void add(double now, double cpus) {
        samples.addLast(new Sample(now, cpus));
        while (samples.peekFirst().sampledAt < now - retentionS) {
            samples.pollFirst();
        }
    }

    /** Returns the demand at the given quantile of the samples, or 0 without samples. */
    public double quantile(double fraction) {
        if (samples.isEmpty()) {
            return 0;
        }
        double[] sorted = samples.stream().mapToDouble(Sample::cpus).toArray();
        Arrays.sort(sorted);
        return sorted[(int) Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))];
    }
}
