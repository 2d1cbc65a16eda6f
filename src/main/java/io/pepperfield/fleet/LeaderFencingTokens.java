package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;

/**
 * The fencing tokens of one leadership term: the token of the election, the current token, and
 * whether a newer one is needed.
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
     * Requests a newer token, so that machines that have seen it refuse orders with the current
     * one.
     */
    void requestNewer() {
        newerRequested = true;
    }

    boolean newerRequested() {
        return newerRequested;
    }
}
