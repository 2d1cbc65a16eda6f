package io.pepperfield.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fencing.FencingToken;

/** The leadership of this controller, as far as it has it. */
public interface LeadershipView {

    /** Whether this controller leads and its lease cannot have expired. */
    boolean holdsValidLease();

    /** The modification revision of the leader key. */
    FencingToken fencingToken();

    /** The grant that the leader key is tied to. */
    long grant();

    /** The value of the leader key. */
    JsonNode leaderKeyValue();

    /** The leading controller as far as known, or empty. */
    String leaderNode();
}
