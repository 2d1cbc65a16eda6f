package io.pepperfield.admission;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Weighted max-min fairness by progressive filling: everybody's share grows in proportion to its
 * weight until its demand is met, and what it leaves goes to those whose demand is not.
 */
final class MaxMinFairness {

    private MaxMinFairness() {}

    /**
     * Divides a capacity.
     *
     * @param demands what each asks for, none negative
     * @param weights in the same order, all positive
     * @return each one's share: at most its demand, and at most the capacity in all
     */
    static double[] divide(double capacity, double[] demands, double[] weights) {
        double[] shares = new double[demands.length];
        double weightLeft = 0;
        for (double weight : weights) {
            weightLeft += weight;
        }
        double left = capacity;
        for (int next : byDemandPerWeight(demands, weights)) {
            double entitled = left * (weights[next] / weightLeft);
            shares[next] = Math.max(0, Math.min(demands[next], entitled));
            left -= shares[next];
            weightLeft -= weights[next];
        }
        return shares;
    }

    /** Those that are satisfied first come first, so that each of them is looked at once. */
    private static List<Integer> byDemandPerWeight(double[] demands, double[] weights) {
        return IntStream.range(0, demands.length)
                .boxed()
                .sorted(Comparator.comparingDouble(index -> demands[index] / weights[index]))
                .toList();
    }
}
