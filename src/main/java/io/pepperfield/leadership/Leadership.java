package io.pepperfield.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.Json;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.GrantOutcome;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import io.pepperfield.store.Keys;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Who decides. The key {@code leader} is bound to a grant; the stamp that writing it returned is
 * the token. A write guarded by that stamp proves that its writer still led when it took effect.
 */
public final class Leadership implements LeaderClaim {

    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /** Part of the grant's time to live for which candidates that are no newcomers hold back. */
    private static final double NEWCOMER_HEAD_START = 1.0 / 20;

    /** The owner's reaction to changes of role; called on the event loop. */
    public interface Listener {
        /** This node leads from now on, with that token. */
        void elected(FencingToken token);

        /** The leader key was written anew: writes are guarded by this token from now on. */
        void fencingTokenRenewed(FencingToken token);

        /** This node does not lead any more; {@code why} is for the log. */
        void leadershipLost(String why);
    }

    private final Loop loop;
    private final KeyValueStore store;
    private final String node;
    private final double leaseTtlS;
    private final Listener listener;

    private String leaderNode = "";
    private long leaderGrant;
    private FencingToken highestFencingToken = FencingToken.NONE;
    private boolean leaderKeyKnown;
    private FencingToken fencingToken = FencingToken.NONE;
    private long grant;
    private double leaseValidUntil;
    private boolean electionInFlight;
    private boolean tokenRenewalInFlight;
    private boolean leaseRenewalInFlight;
    private double nextLeaseRenewalAt;
    private double noCandidacyBefore;

    /** Elections lost since the replica last brought news of the leader key. */
    private int consecutiveLostElections;

    /** The leader's grant when this process began, or 0 where nobody led. */
    private long grantAtProcessStart;

    private boolean initialLeaderSeen;

    /** The grant of an earlier process of this node that was last asked to be ended. */
    private long revokedOrphanGrant;

    private boolean leadershipDoubted;
    private double doubtedAt;

    /**
     * Creates the state of a node that does not lead; {@code ttlS} is the lifetime of its grant in
     * seconds.
     */
    public Leadership(Loop loop, KeyValueStore state, String node, double ttlS, Listener listener) {
        this.loop = loop;
        this.store = state;
        this.node = node;
        this.leaseTtlS = ttlS;
        this.listener = listener;
    }

    /**
     * Leading as far as this node knows: enough to keep leases alive, not to decide anything new.
     */
    public boolean isLeader() {
        return fencingToken.exists() && !leadershipDoubted;
    }

    /** Leading, and the grant cannot have ended yet by this node's own reckoning. */
    @Override
    public boolean holdsValidLease() {
        return isLeader() && loop.now() < leaseValidUntil;
    }

    /** The token of this node's term, 0 while it does not lead. */
    @Override
    public FencingToken fencingToken() {
        return fencingToken;
    }

    /** The highest token that the state service has shown, whoever's it was. */
    public FencingToken highestFencingToken() {
        return FencingToken.newest(fencingToken, highestFencingToken);
    }

    /** The grant of this node's term. */
    @Override
    public long grant() {
        return grant;
    }

    /** What this node writes under the leader key. */
    @Override
    public JsonNode leaderKeyValue() {
        return Json.object().put("node", node).put("grant", grant);
    }

    /** The leading node as far as known, or empty. */
    @Override
    public String leaderNode() {
        return leaderNode;
    }

    /** The condition that a leader's write must carry. */
    public Precondition fencingPrecondition() {
        return new Precondition(Keys.LEADER, fencingToken.value());
    }

    /** The replica's news of the leader key. */
    public void leaderKeyChanged(JsonNode data, long stamp) {
        leaderKeyKnown = true;
        consecutiveLostElections = 0;
        long lostGrant = leaderGrant;
        leaderNode = data == null ? "" : data.path("node").asText();
        if (data != null) {
            highestFencingToken = FencingToken.newest(highestFencingToken, new FencingToken(stamp));
        }
        leaderGrant = data == null ? 0 : data.path("grant").longValue();
        recordInitialLeader();
        boolean mine =
                data != null && leaderNode.equals(node) && leaderGrant == grant && grant != 0;
        if (mine && !fencingToken.exists()) {
            becomeLeader(stamp);
        } else if (mine && stamp > fencingToken.value()) {
            // A renewal of which no answer came has taken effect: older guards fail from here on.
            fencingToken = new FencingToken(stamp);
            listener.fencingTokenRenewed(fencingToken);
        } else if (!mine
                && fencingToken.exists()
                && (data == null || stamp > fencingToken.value())) {
            endTerm("another node has the leader key");
        }
        if (data == null && lostGrant != 0 && !fencingToken.exists()) {
            onLeaderGone(lostGrant);
        }
    }

    private void recordInitialLeader() {
        if (!initialLeaderSeen) {
            initialLeaderSeen = true;
            grantAtProcessStart = leaderGrant;
        }
    }

    /**
     * The leader is gone. A process that began under it is a newcomer and stands at once, the
     * others a moment later: while controllers are restarted one after the other, a newcomer has
     * had its turn, and any other leader would end within seconds, each time with a take-over.
     */
    private void onLeaderGone(long lostGrant) {
        if (lostGrant != grantAtProcessStart) {
            noCandidacyBefore =
                    Math.max(noCandidacyBefore, loop.now() + leaseTtlS * NEWCOMER_HEAD_START);
        } else if (mayStandForElection()) {
            standForElection();
        }
    }

    private boolean mayStandForElection() {
        return leaderKeyKnown
                && leaderNode.isEmpty()
                && !electionInFlight
                && loop.now() >= noCandidacyBefore;
    }

    /**
     * A worker or peer showed a token beyond this node's own: it stops acting until the state
     * service has renewed the grant, which it does only for the node that still has the key. A
     * made-up token thus stops it for a moment only.
     */
    public void observeFencingToken(FencingToken seen) {
        if (fencingToken.exists() && seen.isNewerThan(fencingToken) && !leadershipDoubted) {
            LOG.info("a newer token {} is about, own {}", seen, fencingToken);
            leadershipDoubted = true;
            doubtedAt = loop.now();
        }
    }

    /**
     * Called when the replica is known to be loaded, so that a missing key means a missing leader.
     */
    public void replicaLoaded() {
        leaderKeyKnown = true;
        recordInitialLeader();
    }

    /** To be called a few times per ttl. */
    public void tick() {
        if (fencingToken.exists()) {
            renewLease();
        } else if (mayStandForElection()) {
            standForElection();
        } else if (leaderKeyKnown
                && leaderNode.equals(node)
                && grant == 0
                && revokedOrphanGrant != leaderGrant) {
            // The key names this node, which holds no grant: an earlier process of this node wrote
            // it and has ended, or an
            // election that this one gave up has been carried out late.
            revokedOrphanGrant = leaderGrant;
            LOG.info("ending the grant of this node's earlier process");
            store.revokeGrant(leaderGrant);
        }
    }

    private void standForElection() {
        electionInFlight = true;
        double sent = loop.now();
        store.createGrant(
                leaseTtlS,
                outcome -> {
                    if (!(outcome instanceof GrantOutcome.Granted granted)) {
                        abandonElection();
                        return;
                    }
                    grant = granted.id();
                    leaseValidUntil = leaseEnd(sent);
                    store.compareAndSwap(
                            RequestPriority.GRANT,
                            List.of(new Precondition(Keys.LEADER, 0)),
                            List.of(new Mutation(Keys.LEADER, leaderKeyValue(), grant)),
                            result -> {
                                electionInFlight = false;
                                if (result instanceof CompareAndSwapOutcome.Committed done) {
                                    leaderNode = node;
                                    leaderGrant = grant;
                                    if (!fencingToken.exists()) {
                                        becomeLeader(done.revision());
                                    }
                                } else if (!(result instanceof CompareAndSwapOutcome.Unknown)
                                        && !fencingToken.exists()) {
                                    store.revokeGrant(grant);
                                    grant = 0;
                                    noCandidacyBefore = loop.now() + backoffAfterLostElection();
                                } else if (!fencingToken.exists()) {
                                    // Perhaps elected without knowing it: ending the grant undoes
                                    // it whenever it takes effect.
                                    store.revokeGrant(grant);
                                    grant = 0;
                                    noCandidacyBefore = loop.now() + leaseTtlS / 4;
                                }
                            });
                });
    }

    /**
     * Another has the key, or something else has changed that this node has not heard of. To stand
     * again and again before the replica brings it would cost three requests each time, which never
     * wait, and so leave none for the follow that brings the news.
     */
    private double backoffAfterLostElection() {
        double pause = leaseTtlS / 10 * Math.pow(2, consecutiveLostElections);
        consecutiveLostElections++;
        return Math.min(leaseTtlS, pause);
    }

    private void abandonElection() {
        electionInFlight = false;
        noCandidacyBefore = loop.now() + leaseTtlS / 10;
    }

    private void becomeLeader(long stamp) {
        fencingToken = new FencingToken(stamp);
        leadershipDoubted = false;
        LOG.info("leading with token {}", fencingToken);
        listener.elected(fencingToken);
    }

    /**
     * Counted from the sending, less clock drift and a margin: the service may have started its
     * clock then.
     */
    private double leaseEnd(double sent) {
        return sent + leaseTtlS * 0.9;
    }

    private void renewLease() {
        double sent = loop.now();
        if (leaseRenewalInFlight || sent < nextLeaseRenewalAt) {
            return;
        }
        leaseRenewalInFlight = true;
        nextLeaseRenewalAt = sent + leaseTtlS / 4;
        long touched = grant;
        store.renewGrant(
                touched,
                result -> {
                    leaseRenewalInFlight = false;
                    if (grant != touched) {
                        return;
                    }
                    if (result instanceof GrantOutcome.Granted) {
                        leaseValidUntil = Math.max(leaseValidUntil, leaseEnd(sent));
                        leadershipDoubted &= sent < doubtedAt;
                    } else if (result instanceof GrantOutcome.Ended && fencingToken.exists()) {
                        endTerm("the grant has ended");
                    }
                });
    }

    /**
     * Writes the leader key again: workers that have seen the new token refuse every order under
     * the old one.
     */
    public void renewFencingToken() {
        if (!holdsValidLease() || tokenRenewalInFlight) {
            return;
        }
        tokenRenewalInFlight = true;
        FencingToken before = fencingToken;
        store.compareAndSwap(
                RequestPriority.GRANT,
                List.of(fencingPrecondition()),
                List.of(new Mutation(Keys.LEADER, leaderKeyValue(), grant)),
                result -> {
                    tokenRenewalInFlight = false;
                    if (result instanceof CompareAndSwapOutcome.Committed done
                            && fencingToken.equals(before)) {
                        fencingToken = new FencingToken(done.revision());
                        listener.fencingTokenRenewed(fencingToken);
                    }
                });
    }

    /** Gives the lead away, for a node that can reach the state service but not the workers. */
    public void stepDown(String why, double forS) {
        if (fencingToken.exists()) {
            long given = grant;
            endTerm(why);
            store.revokeGrant(given);
            noCandidacyBefore = loop.now() + forS;
        }
    }

    private void endTerm(String why) {
        LOG.info("no longer leading: {}", why);
        fencingToken = FencingToken.NONE;
        grant = 0;
        tokenRenewalInFlight = false;
        if (leaderNode.equals(node)) {
            leaderNode = "";
        }
        // The replica still has to bring the end of the old key before this node may stand again.
        noCandidacyBefore = Math.max(noCandidacyBefore, loop.now() + leaseTtlS / 4);
        listener.leadershipLost(why);
    }
}
