package io.pepperfield.http;

import com.fasterxml.jackson.databind.JsonNode;

/** How an outgoing request ended. */
public sealed interface HttpOutcome {

    /** An answer with its status arrived in time. */
    record Answered(int status, byte[] body) implements HttpOutcome {
        /** The body as JSON; missing where it is not valid. */
        public JsonNode json() {
            return Json.read(body);
        }
    }

    /** No byte of it left: it was certainly not carried out. */
    record NotSent(String reason) implements HttpOutcome {}

    /** It left and nothing came back: it may have been carried out, or may be at any later time. */
    record NoAnswer(String reason) implements HttpOutcome {}
}
