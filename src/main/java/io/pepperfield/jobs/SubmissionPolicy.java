package io.pepperfield.jobs;

/** Decides whether a new job may be written now; asked once all else about it has been checked. */
public interface SubmissionPolicy {

    /** What is decided about a new job. */
    sealed interface Decision {
        /** It may be written. */
        record Admitted() implements Decision {}

        /** Its user is told to come back, at once. */
        record Refused(String reason, int retryAfterS) implements Decision {}
    }

    Decision ADMITTED = new Decision.Admitted();

    /** Admits everything: the state service's own refusal is the limit. */
    SubmissionPolicy UNLIMITED =
            new SubmissionPolicy() {
                @Override
                public Decision decide(JobSpec job) {
                    return ADMITTED;
                }

                @Override
                public void storeThrottled() {}
            };

    /** Decides about a job that nobody is known to have accepted; counts it if it is admitted. */
    Decision decide(JobSpec job);

    /** The state service has refused a creation as beyond its rate. */
    void storeThrottled();
}
