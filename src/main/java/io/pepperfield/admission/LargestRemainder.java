package io.pepperfield.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Rounds shares to whole numbers by the largest remainder method, without exceeding their sum. The
 * rounding error of each share is carried over to the next call, so that a share far below one is
 * not always rounded down to zero.
 */
final class LargestRemainder<K extends Comparable<K>> {

    /**
     * Keeps a floating-point sum such as 3 * (1/3) from being rounded down to the next lower
     * integer.
     */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private Map<K, Double> carriedErrors = new HashMap<>();

    /** Returns the rounded shares; their sum is the sum of the exact shares, rounded down. */
    SortedMap<K, Integer> round(SortedMap<K, Double> exact) {
        int total = floor(exact.values().stream().mapToDouble(Double::doubleValue).sum());
        SortedMap<K, Integer> rounded = new TreeMap<>();
        Map<K, Double> remainders = new HashMap<>();
        int assigned = 0;
        for (Map.Entry<K, Double> share : exact.entrySet()) {
            double exactWithCarry =
                    share.getValue() + carriedErrors.getOrDefault(share.getKey(), 0.0);
            int whole = Math.min(total - assigned, Math.max(0, floor(exactWithCarry)));
            rounded.put(share.getKey(), whole);
            remainders.put(share.getKey(), exactWithCarry - whole);
            assigned += whole;
        }
        distribute(total - assigned, rounded, remainders);
        carriedErrors = remainders;
        return rounded;
    }

    private void distribute(
            int undistributed, SortedMap<K, Integer> rounded, Map<K, Double> remainders) {
        List<K> order = new ArrayList<>(rounded.keySet());
        order.sort(Comparator.comparingDouble((K key) -> -remainders.get(key)));
        for (int i = 0; i < undistributed && !order.isEmpty(); i++) {
            K key = order.get(i % order.size());
            rounded.merge(key, 1, Integer::sum);
            remainders.merge(key, -1.0, Double::sum);
        }
        // Limits the carried error to one, also for a share that has changed since the last call.
        remainders.replaceAll((key, remainder) -> Math.max(-1, Math.min(1, remainder)));
    }

    private static int floor(double value) {
        return (int) Math.floor(value + ROUNDING_TOLERANCE);
    }
}
