package io.pepperfield.fleet;

import io.pepperfield.fencing.FencingToken;

/**
 * The fencing tokens of one leadership: the one it was elected with, the newest one it has minted,
 * and whether something waits for a newer one still.
 */
final class LeaderFencingTokens {

    private final FencingToken electionToken;
    private FencingToken currentToken;
    private boolean newerRequested;

    LeaderFencingTokens(FencingToken elected) {
        this.electionToken = elected;
        this.currentToken = elected;
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
