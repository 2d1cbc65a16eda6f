package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;

/**
 * What the state service allows: a larger value or transaction gets 400, what is beyond the rates
 * 429. Both rates allow bursts of one second's worth.
 */
final class StoreLimitsStandIn {

    static final int BAD_REQUEST = 400;
    static final int TOO_MANY_REQUESTS = 429;
    static final int ALLOWED = 0;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int PRECONDITIONS_PER_MUTATION = 4;

    private final Settings.StoreLimits limits;
    private double requests;
    private double changes;
    private double filledAt;

    /** So many requests were refused for their size, and for the rates. */
    int oversizedRequestCount;

    int rateLimitedRequestCount;

    StoreLimitsStandIn(Settings.StoreLimits limits, double now) {
        this.limits = limits;
        this.requests = limits.requestsPerS();
        this.changes = limits.writesPerS();
        this.filledAt = now;
    }

    /** The status with which a request is refused, or {@link #ALLOWED}. */
    int refusalStatus(InboundRequest request, double now) {
        requests =
                Math.min(
                        limits.requestsPerS(), requests + (now - filledAt) * limits.requestsPerS());
        changes = Math.min(limits.writesPerS(), changes + (now - filledAt) * limits.writesPerS());
        filledAt = now;
        boolean transaction = request.path().equals("/txn");
        JsonNode body = transaction ? Json.read(request.body()) : null;
        int writes = transaction ? body.path("apply").size() : 0;
        if (transaction && tooLarge(body, request.body().length)) {
            oversizedRequestCount++;
            return BAD_REQUEST;
        }
        if (requests < 1 || changes < writes) {
            rateLimitedRequestCount++;
            return TOO_MANY_REQUESTS;
        }
        requests -= 1;
        changes -= writes;
        return ALLOWED;
    }

    private boolean tooLarge(JsonNode transaction, int bytes) {
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
