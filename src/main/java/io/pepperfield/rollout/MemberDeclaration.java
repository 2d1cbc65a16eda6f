package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.Keys;
import io.pepperfield.store.StateService;
import io.pepperfield.store.StateService.Change;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.StateService.TxnResult;
import io.pepperfield.store.StateService.Urgency;
import java.util.List;
import java.util.UUID;

/**
 * Keeps this process's release declared under a grant of its own, so that the declaration ends with
 * the process. It is not guarded by the version: one that cannot serve is to be seen, too.
 */
final class MemberDeclaration {

    /** Part of its time to live after which a grant is renewed. */
    private static final double RENEWAL = 0.25;

    private final Loop loop;
    private final StateService raw;
    private final double ttlS;
    private final String key;
    private final MemberRelease own;

    private long grant;
    private long stamp;
    private boolean declared;
    private boolean busy;
    private double nextAt;

    MemberDeclaration(Loop loop, StateService raw, String node, Release release, double ttlS) {
        this.loop = loop;
        this.raw = raw;
        this.ttlS = ttlS;
        this.key = Keys.ROLLOUT_MEMBER + node;
        this.own = new MemberRelease(release, UUID.randomUUID().toString(), 0);
    }

    /** News of this node's key: perhaps of an earlier process, whose write came late. */
    void changed(JsonNode data, long newStamp) {
        stamp = data == null ? 0 : newStamp;
        declared = data != null && data.path("incarnation").asText().equals(own.incarnation());
    }

    /** To be called often, once the replica is loaded. */
    void tick() {
        if (busy || loop.now() < nextAt) {
            return;
        }
        busy = true;
        nextAt = loop.now() + ttlS * RENEWAL;
        if (grant == 0) {
            raw.grant(
                    ttlS,
                    granted -> {
                        grant = granted.id();
                        declare();
                    });
        } else {
            raw.touch(
                    grant,
                    touched -> {
                        if (touched.gone()) {
                            grant = 0;
                            nextAt = loop.now();
                        }
                        declare();
                    });
        }
    }

    private void declare() {
        if (grant == 0 || declared) {
            busy = false;
            return;
        }
        raw.txn(
                Urgency.JOB,
                List.of(new Guard(key, stamp)),
                List.of(new Change(key, own.write(), grant)),
                result -> {
                    busy = false;
                    if (result instanceof TxnResult.Refused) {
                        // Also where the grant has ended: the next one is asked for.
                        grant = 0;
                    }
                });
    }
}
