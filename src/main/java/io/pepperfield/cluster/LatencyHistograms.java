package io.pepperfield.cluster;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Histograms of durations by kind since the last summary. Confined to the event loop. */
public final class LatencyHistograms {

    private static final long MAX_RECORDED_MICROS = 60_000_000;
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final double MICROS_PER_MS = 1e3;

    private final Map<String, Histogram> histograms = new TreeMap<>();

    /** Records a duration in seconds under the given kind. */
    public void record(String kind, double seconds) {
        long micros = Math.min(MAX_RECORDED_MICROS, Math.max(0, Math.round(seconds * 1e6)));
        histograms
                .computeIfAbsent(
                        kind, name -> new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS))
                .recordValue(micros);
    }

    /**
     * Returns one line with the count, and the median, 99th percentile and maximum in milliseconds,
     * of each kind, and resets the histograms.
     */
    public String summarizeAndReset() {
        String line =
                histograms.entrySet().stream()
                        .filter(entry -> entry.getValue().getTotalCount() > 0)
                        .map(entry -> describe(entry.getKey(), entry.getValue()))
                        .collect(Collectors.joining(", "));
        histograms.values().forEach(Histogram::reset);
        return line;
    }

    private static String describe(String kind, Histogram histogram) {
        return String.format(
                Locale.ROOT,
                "%s %d (%.1f/%.1f/%.1f ms)",
                kind,
                histogram.getTotalCount(),
                histogram.getValueAtPercentile(50) / MICROS_PER_MS,
                histogram.getValueAtPercentile(99) / MICROS_PER_MS,
                histogram.getMaxValue() / MICROS_PER_MS);
    }
}
