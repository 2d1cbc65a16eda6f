package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;

/**
 * The fencing tokens of one term: that of the election, the newest one since, and whether something
 * waits for a newer one still.
 */
final class LeaderFencingTokens {

    private final FencingToken electionToken;
    private FencingToken currentToken;
    private boolean newerRequested;

    LeaderFencingTokens(FencingToken electionToken) {
        this.electionToken = electionToken;
        this.currentToken = electionToken;
    }

    FencingToken electionToken() {
        return electionToken;
    }

    FencingToken currentToken() {
        return currentToken;
    }

    void renew(FencingToken token) {
        currentToken = token;
        newerRequested = false;
    }

    /**
     * Something waits for the machines to see a newer token, after which they refuse orders with
     * the old one.
     */
    void requestNewer() {
        newerRequested = true;
    }

    boolean newerRequested() {
        return newerRequested;
    }
}
