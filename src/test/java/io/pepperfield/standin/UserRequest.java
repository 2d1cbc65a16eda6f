package io.pepperfield.standin;

import io.pepperfield.http.Json;

/** A request that a user sends to a controller. */
record UserRequest(String method, String path, byte[] body, long deadlineMs) {

    private static final String JOBS = "/api/jobs";
    private static final long QUERY_DEADLINE_MS = 2000;
    private static final long CHANGE_DEADLINE_MS = 5000;

    static UserRequest status(JobPlan plan) {
        return new UserRequest("GET", JOBS + "/" + plan.id(), null, QUERY_DEADLINE_MS);
    }

    /**
     * Like {@link #status}, for an id that was never submitted; it has the longer deadline of a
     * change.
     */
    static UserRequest statusOfUnknownJob(String id) {
        return new UserRequest("GET", JOBS + "/" + id, null, CHANGE_DEADLINE_MS);
    }

    static UserRequest submission(JobPlan plan) {
        return submission(Json.write(plan.body()));
    }

    static UserRequest submission(byte[] body) {
        return new UserRequest("POST", JOBS, body, CHANGE_DEADLINE_MS);
    }

    static UserRequest cancellation(String id) {
        return new UserRequest(
                "POST", JOBS + "/" + id + "/cancel", new byte[0], CHANGE_DEADLINE_MS);
    }

    /** Describes the request and its target node, for the text of a violation. */
    String describe(double sentAt, int node) {
        return path.replace(JOBS, method) + " at " + sentAt + " from node-" + node;
    }
}
