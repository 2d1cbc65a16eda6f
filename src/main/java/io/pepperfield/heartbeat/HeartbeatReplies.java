package io.pepperfield.heartbeat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;

/** The bodies of replies to heartbeats that carry no orders of this controller's own. */
final class HeartbeatReplies {

    private HeartbeatReplies() {}

    /** Sends the worker to another controller. */
    static HttpReply redirect(String controller) {
        return HttpReply.json(421, Json.object().put("manager", controller));
    }

    /** Hands on the orders of the leader that has this token. */
    static ObjectNode forwardedOrders(FencingToken token, JsonNode orders) {
        ObjectNode body = Json.object().put("epoch", token.value());
        body.set("orders", orders);
        return body;
    }
}
