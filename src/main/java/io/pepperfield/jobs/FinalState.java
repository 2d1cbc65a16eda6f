package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;

/**
 * The stored final state of a job.
 *
 * @param status done or cancelled
 * @param doneMs wall-clock time in milliseconds at which the job was done; empty for a cancelled
 *     job, or if the state was written by a version that did not record it
 */
record FinalState(Status status, OptionalLong doneMs) {

    /** The final state of a job that was cancelled because one of its dependencies was. */
    static final FinalState CANCELLED_WITH_DEPENDENCY =
            new FinalState(Status.CANCELLED, OptionalLong.empty());

    static FinalState decode(JsonNode stored) {
        return new FinalState(JobCodec.decodeFinalStatus(stored), JobCodec.decodeDoneMs(stored));
    }
}
