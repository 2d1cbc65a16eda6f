package io.pepperfield.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Rounds shares to whole numbers without exceeding their sum, by largest remainder. What rounding
 * took from or gave to each is carried over to the next time, so that a share far below one is not
 * rounded away for ever.
 */
final class LargestRemainder<K extends Comparable<K>> {

    /** Sums of fractions such as a third three times must not fall short of a whole number. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    private Map<K, Double> carried = new HashMap<>();

    /** The shares in whole numbers; their sum is that of the exact ones, rounded down. */
    SortedMap<K, Integer> round(SortedMap<K, Double> exact) {
        int total = floor(exact.values().stream().mapToDouble(Double::doubleValue).sum());
        SortedMap<K, Integer> rounded = new TreeMap<>();
        Map<K, Double> remainders = new HashMap<>();
        int given = 0;
        for (Map.Entry<K, Double> share : exact.entrySet()) {
            double due = share.getValue() + carried.getOrDefault(share.getKey(), 0.0);
            int whole = Math.min(total - given, Math.max(0, floor(due)));
            rounded.put(share.getKey(), whole);
            remainders.put(share.getKey(), due - whole);
            given += whole;
        }
        distribute(total - given, rounded, remainders);
        carried = remainders;
        return rounded;
    }

    private void distribute(int left, SortedMap<K, Integer> rounded, Map<K, Double> remainders) {
        List<K> order = new ArrayList<>(rounded.keySet());
        order.sort(Comparator.comparingDouble((K key) -> -remainders.get(key)));
        for (int i = 0; i < left && !order.isEmpty(); i++) {
            K key = order.get(i % order.size());
            rounded.merge(key, 1, Integer::sum);
            remainders.merge(key, -1.0, Double::sum);
        }
        // A share that has changed in between is owed no more than what one rounding may take.
        remainders.replaceAll((key, owed) -> Math.max(-1, Math.min(1, owed)));
    }

    private static int floor(double value) {
        return (int) Math.floor(value + ROUNDING_TOLERANCE);
    }
}
