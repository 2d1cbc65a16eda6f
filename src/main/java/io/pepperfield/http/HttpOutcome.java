package io.pepperfield.http;

import com.fasterxml.jackson.databind.JsonNode;

/** Outcome of an outgoing request. */
public sealed interface HttpOutcome {

    /** A response arrived before the deadline. */
    record Answered(int status, byte[] body) implements HttpOutcome {
        /** Returns the body as JSON, or a missing node if it is not valid JSON. */
        public JsonNode json() {
            return Json.read(body);
        }
    }

    /** No byte of the request was sent, so it was certainly not carried out. */
    record NotSent(String reason) implements HttpOutcome {}

    /** The request was sent but no response arrived: it may have been or may yet be carried out. */
    record NoAnswer(String reason) implements HttpOutcome {}
}
