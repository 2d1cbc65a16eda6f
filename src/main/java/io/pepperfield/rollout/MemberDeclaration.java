package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.GrantOutcome;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import io.pepperfield.store.Keys;
import java.util.List;
import java.util.UUID;

/**
 * Declares this process's release under a key that is attached to a grant of its own, so that the
 * declaration expires after the process ends. The write has no precondition on the version record:
 * a controller that cannot serve the current version has to be visible to operators too.
 */
final class MemberDeclaration {

    /** Fraction of the grant's time to live after which it is renewed. */
    private static final double RENEWAL_FRACTION = 0.25;

    private final Loop loop;
    private final KeyValueStore store;
    private final double ttlS;
    private final String key;
    private final MemberRelease ownRelease;

    private long grant;
    private long modRevision;
    private boolean declared;
    private boolean requestInFlight;
    private double nextRenewalAt;

    MemberDeclaration(Loop loop, KeyValueStore store, String node, Release release, double ttlS) {
        this.loop = loop;
        this.store = store;
        this.ttlS = ttlS;
        this.key = Keys.ROLLOUT_MEMBER_PREFIX + node;
        this.ownRelease = new MemberRelease(release, UUID.randomUUID().toString(), 0);
    }

    /**
     * Handles a change of this node's key. The change may come from an earlier process on this node
     * whose write was delayed.
     */
    void onDeclarationChanged(JsonNode data, long newModRevision) {
        modRevision = data == null ? 0 : newModRevision;
        declared =
                data != null && data.path("incarnation").asText().equals(ownRelease.incarnation());
    }

    /**
     * Renews the grant and the declaration if due; called periodically once the replica is loaded.
     */
    void tick() {
        if (requestInFlight || loop.now() < nextRenewalAt) {
            return;
        }
        requestInFlight = true;
        nextRenewalAt = loop.now() + ttlS * RENEWAL_FRACTION;
        if (grant == 0) {
            store.createGrant(
                    ttlS,
                    outcome -> {
                        grant = outcome instanceof GrantOutcome.Granted granted ? granted.id() : 0;
                        declare();
                    });
        } else {
            store.renewGrant(
                    grant,
                    outcome -> {
                        if (outcome instanceof GrantOutcome.Ended) {
                            grant = 0;
                            nextRenewalAt = loop.now();
                        }
                        declare();
                    });
        }
    }

    private void declare() {
        if (grant == 0 || declared) {
            requestInFlight = false;
            return;
        }
        store.compareAndSwap(
                RequestPriority.SUBMISSION,
                List.of(new Precondition(key, modRevision)),
                List.of(new Mutation(key, ownRelease.toJson(), grant)),
                result -> {
                    requestInFlight = false;
                    if (result instanceof CompareAndSwapOutcome.Refused) {
                        // The grant may have expired: the next renewal creates a new one.
                        grant = 0;
                    }
                });
    }
}
