package io.pepperfield.store;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.store.FencedWriter.Content;
import io.pepperfield.store.FencedWriter.Priority;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** A write that is not durable yet: its content, its preconditions and its callbacks. */
final class PendingWrite {

    private final String key;
    private final Content content;
    private final Supplier<Collection<String>> requiredAbsent;
    private final boolean writeOnce;
    private final Runnable onAlreadyWritten;
    private final double enqueuedAt;
    private final List<Runnable> onDurable = new ArrayList<>();
    private Priority priority;

    /** Loop time in seconds before which it is not retried, set if it was refused on its own. */
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
     * @param requiredAbsent supplies the keys that must not exist when the write takes effect
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
     * @param onAlreadyWritten run instead of the callbacks if the key has already been written
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

    /** Loop time in seconds at which the write was first enqueued. */
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

    /** Raises the priority to the other one if that is more urgent. */
    void raisePriority(Priority other) {
        if (other.compareTo(priority) < 0) {
            priority = other;
        }
    }

    void addCallback(Runnable callback) {
        onDurable.add(callback);
    }

    /** Merges a write that was enqueued for the same key while this one was in flight. */
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
