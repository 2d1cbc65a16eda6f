package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.function.DoubleSupplier;

/** The decisions of a simulated run in order, with the simulated time of each. */
public final class DecisionLog {

    /** A decision and the simulated time, in seconds, at which it was received. */
    public record Entry(double at, Decision decision) {

        /** Returns the line of the entry in test data. */
        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%.6f %s", at, decision);
        }
    }

    private final DoubleSupplier clock;
    private final List<Entry> entries = new ArrayList<>();

    DecisionLog(DoubleSupplier clock) {
        this.clock = clock;
    }

    void add(Decision decision) {
        entries.add(new Entry(clock.getAsDouble(), decision));
    }

    /** Returns all decisions so far, in order of time. */
    public List<Entry> entries() {
        return Collections.unmodifiableList(entries);
    }

    /** Returns one line for each decision so far. */
    public List<String> lines() {
        return entries.stream().map(Entry::toString).toList();
    }
}
