package io.pepperfield.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fencing.FencingToken;

/** Read-only view of this controller's leadership. */
public interface LeadershipView {

    /** Whether this controller is the leader and its lease cannot have expired. */
    boolean holdsValidLease();

    /** The modification revision of the leader key, which serves as the fencing token. */
    FencingToken fencingToken();

    /** The id of the grant to which the leader key is attached. */
    long grant();

    /** The value of the leader key. */
    JsonNode leaderKeyValue();

    /** The name of the last known leader, or empty if none is known. */
    String leaderNode();
}
