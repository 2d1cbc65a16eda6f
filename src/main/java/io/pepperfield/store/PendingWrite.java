package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.store.FencedWriter.Content;
import io.pepperfield.store.FencedWriter.Priority;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** A key waiting to be written: its content, its conditions, and whom to tell of the outcome. */
final class PendingWrite {

    private final String key;
    private final Content content;
    private final Supplier<Collection<String>> requiredAbsent;
    private final boolean writeOnce;
    private final Runnable onAlreadyWritten;
    private final double enqueuedAt;
    private final List<Runnable> onDurable = new ArrayList<>();
    private Priority priority;

    /** Loop time in seconds before which it is not tried again, after a refusal of it alone. */
    private double retryNotBefore = Double.NEGATIVE_INFINITY;

    private PendingWrite(
            String key,
            Priority priority,
            Content content,
            Supplier<Collection<String>> requiredAbsent,
            boolean writeOnce,
            Runnable onAlreadyWritten,
            double enqueuedAt) {
        this.key = key;
        this.priority = priority;
        this.content = content;
        this.requiredAbsent = requiredAbsent;
        this.writeOnce = writeOnce;
        this.onAlreadyWritten = onAlreadyWritten;
        this.enqueuedAt = enqueuedAt;
    }

    /**
     * @param requiredAbsent gives the keys that must not exist when the write takes effect
     */
    static PendingWrite repeatable(
            String key,
            Priority priority,
            Content content,
            Supplier<Collection<String>> requiredAbsent,
            double now) {
        return new PendingWrite(key, priority, content, requiredAbsent, false, () -> {}, now);
    }

    /**
     * @param onAlreadyWritten run in place of the callbacks where the key is found written
     */
    static PendingWrite once(
            String key, Priority priority, Content content, Runnable onAlreadyWritten, double now) {
        return new PendingWrite(key, priority, content, List::of, true, onAlreadyWritten, now);
    }

    String key() {
        return key;
    }

    Priority priority() {
        return priority;
    }

    /** Loop time in seconds at which the key was enqueued first. */
    double enqueuedAt() {
        return enqueuedAt;
    }

    double retryNotBefore() {
        return retryNotBefore;
    }

    void retryNotBefore(double time) {
        retryNotBefore = time;
    }

    /** Whether the key may only be created. */
    boolean isWriteOnce() {
        return writeOnce;
    }

    Map<String, JsonNode> values() {
        return content.values();
    }

    Collection<String> requiredAbsent() {
        return requiredAbsent.get();
    }

    boolean split() {
        return content.split();
    }

    /** Takes the more urgent of both priorities. */
    void raisePriority(Priority other) {
        if (other.compareTo(priority) < 0) {
            priority = other;
        }
    }

    void addCallback(Runnable callback) {
        onDurable.add(callback);
    }

    /** Joins what was enqueued for the same key while this write was under way. */
    void merge(PendingWrite later) {
        onDurable.addAll(later.onDurable);
        raisePriority(later.priority);
    }

    void notifyDurable() {
        onDurable.forEach(Runnable::run);
    }

    void notifyAlreadyWritten() {
        onAlreadyWritten.run();
    }
}
