package io.pepperfield.heartbeat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.http.HttpReply;

/** How a worker's heartbeat is to be answered. */
sealed interface HeartbeatVerdict {

    /** The reply that tells the worker so. */
    HttpReply toReply();

    /** The lease is renewed and the orders of the body are to be carried out. */
    record Accepted(ObjectNode body) implements HeartbeatVerdict {
        @Override
        public HttpReply toReply() {
            return HttpReply.json(200, body);
        }
    }

    /** Another controller takes the heartbeats of this machine. */
    record Redirected(String controller) implements HeartbeatVerdict {
        @Override
        public HttpReply toReply() {
            return HttpReply.json(421, WorkerProtocol.redirect(controller));
        }
    }

    /** The lease is not renewed; the worker tries again, here or at another controller. */
    enum Refused implements HeartbeatVerdict {
        MALFORMED(400, "not a report"),
        PROCESS_PAUSED(503, "has stood still"),
        NEWER_FENCING_TOKEN(503, "a newer token is about"),
        STORE_UNREACHABLE(503, "not in touch with the state service"),
        LEADER_UNREACHABLE(503, "not in touch with the leader"),
        OUTDATED_HEARTBEAT(503, "an old report"),
        NO_FENCING_TOKEN(503, "no valid token is known here"),
        LEASE_EXHAUSTED(503, "no leader answers");

        private final int status;
        private final String message;

        Refused(int status, String message) {
            this.status = status;
            this.message = message;
        }

        @Override
        public HttpReply toReply() {
            return HttpReply.error(status, message);
        }
    }
}
