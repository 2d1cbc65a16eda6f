package io.pepperfield.fleet;

/**
 * The fencing tokens of one leadership: the one it was elected with, the newest one it has minted,
 * and whether something waits for a newer one still.
 */
final class LeaderFencingTokens {

    private final long electionToken;
    private long currentToken;
    private boolean newerRequested;

    LeaderFencingTokens(long elected) {
        this.electionToken = elected;
        this.currentToken = elected;
    }

    long electionToken() {
        return electionToken;
    }

    long currentToken() {
        return currentToken;
    }

    void renew(long token) {
        currentToken = token;
        newerRequested = false;
    }

    /**
     * Something waits for the machines to see a newer token, after which no order under the old one
     * is carried out.
     */
    void requestNewer() {
        newerRequested = true;
    }

    boolean newerRequested() {
        return newerRequested;
    }
}
