package io.pepperfield.jobs;

/** Decides whether a new job may be written now; consulted after all other checks have passed. */
public interface SubmissionPolicy {

    /** The decision about a new job. */
    sealed interface Decision {
        /** The job may be written. */
        record Admitted() implements Decision {}

        /** The job is rejected immediately and its client is asked to retry. */
        record Refused(String reason, int retryAfterS) implements Decision {}
    }

    Decision ADMITTED = new Decision.Admitted();

    /** Admits every job; only the state service's own rate limit applies. */
    SubmissionPolicy UNLIMITED =
            new SubmissionPolicy() {
                @Override
                public Decision decide(JobSpec job) {
                    return ADMITTED;
                }

                @Override
                public void storeThrottled() {}
            };

    /** Decides about a job that is not known to be accepted yet, and counts it if admitted. */
    Decision decide(JobSpec job);

    /**
     * Called when the state service has rejected a creation because its rate limit was exceeded.
     */
    void storeThrottled();
}
