package io.pepperfield.node;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** How long requests took, by kind, since the last summary. */
final class Latencies {

    private static final long MOST_MICROS = 60_000_000;

    private final Map<String, Histogram> kinds = new TreeMap<>();

    void record(String kind, double seconds) {
        kinds.computeIfAbsent(kind, k -> new Histogram(MOST_MICROS, 2))
                .recordValue(Math.min(MOST_MICROS, Math.max(0, Math.round(seconds * 1e6))));
    }

    /** One line with count, median, 99th percentile and longest in milliseconds; starts anew. */
    String summary() {
        String line =
                kinds.entrySet().stream()
                        .filter(e -> e.getValue().getTotalCount() > 0)
                        .map(
                                e -> {
                                    Histogram h = e.getValue();
                                    return String.format(
                                            "%s %d (%.1f/%.1f/%.1f ms)",
                                            e.getKey(),
                                            h.getTotalCount(),
                                            h.getValueAtPercentile(50) / 1e3,
                                            h.getValueAtPercentile(99) / 1e3,
                                            h.getMaxValue() / 1e3);
                                })
                        .collect(Collectors.joining(", "));
        kinds.values().forEach(Histogram::reset);
        return line;
    }
}
