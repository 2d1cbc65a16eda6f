package io.pepperfield.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fencing.FencingToken;

/** The lead of this node, as far as it has it. */
public interface LeaderClaim {

    /** Whether this node leads and its grant cannot have ended. */
    boolean holdsValidLease();

    /** The stamp of the leader key. */
    FencingToken fencingToken();

    /** The grant that the leader key is tied to. */
    long grant();

    /** The value of the leader key. */
    JsonNode leaderKeyValue();

    /** The leading node as far as known, or empty. */
    String leaderNode();
}
