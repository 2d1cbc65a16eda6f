package io.pepperfield.fencing;

/**
 * The fencing token of a leader ({@code epoch} on the wire): the modification revision of the
 * leader key, so that each later leader, and each renewal by the same one, has a higher token.
 * Whoever has seen a token refuses what carries a lower one.
 *
 * @param value the revision; 0 where no token has been seen
 */
public record FencingToken(long value) implements Comparable<FencingToken> {

    /** Older than every token: no leader has been seen. */
    public static final FencingToken NONE = new FencingToken(0);

    /** The newer of two tokens. */
    public static FencingToken newest(FencingToken one, FencingToken other) {
        return one.isOlderThan(other) ? other : one;
    }

    /** Whether this is a leader's token at all. */
    public boolean exists() {
        return value != 0;
    }

    /** Whether a later leader or renewal has this token. */
    public boolean isNewerThan(FencingToken other) {
        return value > other.value;
    }

    /** Whether an earlier leader, or the same one before a renewal, had this token. */
    public boolean isOlderThan(FencingToken other) {
        return value < other.value;
    }

    /** Whether this is the other token or a newer one. */
    public boolean isAtLeast(FencingToken other) {
        return value >= other.value;
    }

    /** The newest token that is older than this one. */
    public FencingToken predecessor() {
        return new FencingToken(value - 1);
    }

    @Override
    public int compareTo(FencingToken other) {
        return Long.compare(value, other.value);
    }

    /** The number alone, as it stands on the wire and in the log. */
    @Override
    public String toString() {
        return Long.toString(value);
    }
}
