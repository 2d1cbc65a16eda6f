package io.pepperfield.heartbeat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.http.HttpReply;

/** The answer to a worker's heartbeat. */
sealed interface HeartbeatVerdict {

    /** Encodes the verdict as an HTTP reply. */
    HttpReply toReply();

    /** Renews the machine's lease; {@code body} holds the orders for the worker. */
    record Accepted(ObjectNode body) implements HeartbeatVerdict {
        @Override
        public HttpReply toReply() {
            return HttpReply.json(200, body);
        }
    }

    /** Redirects the worker to the controller that receives this machine's heartbeats. */
    record Redirected(String controller) implements HeartbeatVerdict {
        @Override
        public HttpReply toReply() {
            return HttpReply.json(421, WorkerProtocol.redirect(controller));
        }
    }

    /** Does not renew the lease; the worker retries, here or at another controller. */
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
