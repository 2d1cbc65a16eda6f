package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.OptionalLong;

/**
 * A job's final state as stored.
 *
 * @param status done or cancelled
 * @param doneMs time of day in milliseconds at which the job was done; empty for a cancelled job,
 *     and where the version that wrote the state did not record it
 */
record FinalState(Status status, OptionalLong doneMs) {

    /** The final state of a job of which a dependency was cancelled. */
    static final FinalState CANCELLED_WITH_DEPENDENCY =
            new FinalState(Status.CANCELLED, OptionalLong.empty());

    static FinalState decode(JsonNode stored) {
        return new FinalState(JobCodec.decodeFinalStatus(stored), JobCodec.decodeDoneMs(stored));
    }
}
