package io.pepperfield.cluster;

import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** How long requests took, by kind, since the last summary. */
public final class LatencyHistograms {

    private static final long MAX_RECORDED_MICROS = 60_000_000;

    private final Map<String, Histogram> histograms = new TreeMap<>();

    /** Counts one duration in seconds under its kind. */
    public void record(String kind, double seconds) {
        histograms
                .computeIfAbsent(kind, k -> new Histogram(MAX_RECORDED_MICROS, 2))
                .recordValue(Math.min(MAX_RECORDED_MICROS, Math.max(0, Math.round(seconds * 1e6))));
    }

    /** One line with count, median, 99th percentile and longest in milliseconds; starts anew. */
    public String summarizeAndReset() {
        String line =
                histograms.entrySet().stream()
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
        histograms.values().forEach(Histogram::reset);
        return line;
    }
}
