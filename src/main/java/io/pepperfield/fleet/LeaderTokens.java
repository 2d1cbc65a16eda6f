package io.pepperfield.fleet;

/**
 * The fencing tokens of one leadership: the one it was elected with, the newest one it has minted,
 * and whether something waits for a newer one still.
 */
final class LeaderTokens {

    private final long elected;
    private long current;
    private boolean newerWanted;

    LeaderTokens(long elected) {
        this.elected = elected;
        this.current = elected;
    }

    long elected() {
        return elected;
    }

    long current() {
        return current;
    }

    void renew(long token) {
        current = token;
        newerWanted = false;
    }

    /**
     * Something waits for the machines to see a newer token, after which no order under the old one
     * is carried out.
     */
    void wantNewer() {
        newerWanted = true;
    }

    boolean newerWanted() {
        return newerWanted;
    }
}
