package io.pepperfield.admission;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Weighted max-min fairness by progressive filling: each share grows in proportion to its weight
 * until its demand is met, and the remaining capacity goes to the shares with unmet demand.
 */
final class MaxMinFairness {

    private MaxMinFairness() {}

    /**
     * Divides a capacity between claimants.
     *
     * @param demands the demand of each claimant, not negative
     * @param weights the weight of each claimant, in the same order, all positive
     * @return the share of each claimant: at most its demand, and in total at most the capacity
     */
    static double[] divide(double capacity, double[] demands, double[] weights) {
        double[] shares = new double[demands.length];
        double remainingWeight = 0;
        for (double weight : weights) {
            remainingWeight += weight;
        }
        double remaining = capacity;
        for (int next : byDemandPerWeight(demands, weights)) {
            double entitlement = remaining * (weights[next] / remainingWeight);
            shares[next] = Math.max(0, Math.min(demands[next], entitlement));
            remaining -= shares[next];
            remainingWeight -= weights[next];
        }
        return shares;
    }

    /** Orders claimants by when their demand is met, so that a single pass is enough. */
    private static List<Integer> byDemandPerWeight(double[] demands, double[] weights) {
        return IntStream.range(0, demands.length)
                .boxed()
                .sorted(Comparator.comparingDouble(index -> demands[index] / weights[index]))
                .toList();
    }
}
