package io.pepperfield.fencing;

/**
 * The fencing token of a leader ({@code epoch} on the wire): the modification revision of the
 * leader key. Every later leader, and every rewrite of the key by the same leader, therefore has a
 * higher token. A receiver rejects requests that carry a lower token than the highest it has seen.
 *
 * @param value the revision; 0 for {@link #NONE}
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

    /** The absence of a token, ordered before all tokens: no leader has been observed. */
    public static final FencingToken NONE = new FencingToken(0);

    /** The newer of two tokens. */
    public static FencingToken newest(FencingToken one, FencingToken other) {
        return one.isOlderThan(other) ? other : one;
    }

    /** Whether this is a leader's token, that is, not {@link #NONE}. */
    public boolean exists() {
        return value != 0;
    }

    /** Whether this token was issued after the other one. */
    public boolean isNewerThan(FencingToken other) {
        return value > other.value;
    }

    /** Whether this token was issued before the other one. */
    public boolean isOlderThan(FencingToken other) {
        return value < other.value;
    }

    /** Whether this token equals the other one or was issued after it. */
    public boolean isAtLeast(FencingToken other) {
        return value >= other.value;
    }

    /** The highest possible token that is lower than this one. */
    public FencingToken predecessor() {
        return new FencingToken(value - 1);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }

    /** The plain number, as on the wire and in the log. */
    @Override
    public String toString() {
        return Long.toString(value);
    }
}
