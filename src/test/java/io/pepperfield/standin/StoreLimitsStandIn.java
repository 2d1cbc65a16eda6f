package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;

/**
 * Enforces the state service's limits. Oversized values and transactions are rejected with 400,
 * requests beyond the request or write rate with 429. Both rates allow bursts of one second's
 * worth.
 */
final class StoreLimitsStandIn {

    static final int BAD_REQUEST = 400;
    static final int TOO_MANY_REQUESTS = 429;
    static final int ALLOWED = 0;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int PRECONDITIONS_PER_MUTATION = 4;

    private final Settings.StoreLimits limits;
    private double requestTokens;
    private double writeTokens;
    private double lastRefillAt;

    /** Number of transactions rejected for their size. */
    int oversizedRequestCount;

    /** Number of requests rejected by the rate limits. */
    int rateLimitedRequestCount;

    StoreLimitsStandIn(Settings.StoreLimits limits, double now) {
        this.limits = limits;
        this.requestTokens = limits.requestsPerS();
        this.writeTokens = limits.writesPerS();
        this.lastRefillAt = now;
    }

    /** Returns the status with which to reject a request, or {@link #ALLOWED}. */
    int refusalStatus(InboundRequest request, double now) {
        requestTokens =
                Math.min(
                        limits.requestsPerS(),
                        requestTokens + (now - lastRefillAt) * limits.requestsPerS());
        writeTokens =
                Math.min(
                        limits.writesPerS(),
                        writeTokens + (now - lastRefillAt) * limits.writesPerS());
        lastRefillAt = now;
        boolean transaction = request.path().equals("/txn");
        JsonNode body = transaction ? Json.read(request.body()) : null;
        int writes = transaction ? body.path("apply").size() : 0;
        if (transaction && isOversized(body, request.body().length)) {
            oversizedRequestCount++;
            return BAD_REQUEST;
        }
        if (requestTokens < 1 || writeTokens < writes) {
            rateLimitedRequestCount++;
            return TOO_MANY_REQUESTS;
        }
        requestTokens -= 1;
        writeTokens -= writes;
        return ALLOWED;
    }

    private boolean isOversized(JsonNode transaction, int bytes) {
        if (bytes > MAX_BODY_BYTES
                || transaction.path("apply").size() > limits.maxTransactionOps()
                || transaction.path("guards").size()
                        > PRECONDITIONS_PER_MUTATION * limits.maxTransactionOps()) {
            return true;
        }
        for (JsonNode change : transaction.path("apply")) {
            if (change.has("data")
                    && Json.write(change.get("data")).length > limits.maxValueKib() * 1024) {
                return true;
            }
        }
        return false;
    }
}
