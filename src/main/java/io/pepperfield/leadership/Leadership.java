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
 * Leader election and the leader's lease. The key {@code leader} is attached to a grant; the
 * modification revision returned by the write of that key is the fencing token. A write that
 * carries this revision as a precondition takes effect only while its writer is still the leader.
 * Confined to the event loop's thread.
 */
public final class Leadership implements LeadershipView {

    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /**
     * Fraction of the lease TTL for which a process that did not start under the previous leader
     * delays its candidacy, which gives the processes that did a head start.
     */
    private static final double NEW_PROCESS_HEAD_START_FRACTION = 1.0 / 20;

    /** Interval between lease renewals, as a fraction of the lease TTL. */
    private static final double LEASE_RENEWAL_FRACTION = 1.0 / 4;

    /**
     * Fraction of the lease TTL after which this controller treats its lease as expired; the
     * remainder allows for clock drift.
     */
    private static final double USABLE_LEASE_FRACTION = 0.9;

    /**
     * The backoff after the first lost election is the lease TTL divided by this number; it doubles
     * with each further lost election.
     */
    private static final int ELECTION_BACKOFF_DIVISOR = 10;

    /** Backoff after an election with an unknown outcome, as a fraction of the lease TTL. */
    private static final double UNKNOWN_OUTCOME_BACKOFF_FRACTION = 1.0 / 4;

    /** Callbacks for changes of this controller's role; run on the event loop. */
    public interface Listener {
        /** This controller has become the leader, with this fencing token. */
        void elected(FencingToken token);

        /** The leader key has been rewritten; further writes must be fenced with this token. */
        void fencingTokenRenewed(FencingToken token);

        /**
         * This controller is no longer the leader.
         *
         * @param reason the reason, for the log
         */
        void leadershipLost(String reason);
    }

    private final Loop loop;
    private final KeyValueStore store;
    private final String node;
    private final double leaseTtlS;
    private final Listener listener;

    /** The node named in the leader key, or empty if there is none. */
    private String leaderNode = "";

    private long leaderGrant;
    private FencingToken highestFencingToken = FencingToken.NONE;
    private boolean leaderKeyKnown;

    /** The fencing token of this controller's term; NONE while it is not the leader. */
    private FencingToken fencingToken = FencingToken.NONE;

    private long grant;
    private double leaseValidUntil;
    private boolean electionInFlight;
    private boolean tokenRenewalInFlight;
    private boolean leaseRenewalInFlight;
    private double nextLeaseRenewalAt;
    private double nextElectionNotBefore;

    /** Elections lost since the replica last delivered a change of the leader key. */
    private int consecutiveLostElections;

    /** The leader's grant when this process started, or 0 if there was no leader. */
    private long leaderGrantAtProcessStart;

    private boolean initialLeaderRecorded;

    /** The last grant of an earlier process of this node for which a revocation was requested. */
    private long revokedOrphanGrant;

    /**
     * Whether a fencing token newer than this controller's own has been observed, and no lease
     * renewal sent since then has succeeded.
     */
    private boolean leadershipUnverified;

    private double unverifiedSince;

    /**
     * Creates the leadership state of a controller that is not the leader.
     *
     * @param node this controller's name
     * @param leaseTtlS the TTL of its grant in seconds
     */
    public Leadership(
            Loop loop, KeyValueStore store, String node, double leaseTtlS, Listener listener) {
        this.loop = loop;
        this.store = store;
        this.node = node;
        this.leaseTtlS = leaseTtlS;
        this.listener = listener;
    }

    /**
     * Whether this controller is the leader by its own state, without a check of its lease. This is
     * sufficient for renewing workers' leases, but not for new decisions.
     */
    public boolean isLeader() {
        return fencingToken.exists() && !leadershipUnverified;
    }

    /** Whether this controller is the leader and its lease cannot have expired by its own clock. */
    @Override
    public boolean holdsValidLease() {
        return isLeader() && loop.now() < leaseValidUntil;
    }

    /** The fencing token of this controller's term; NONE while it is not the leader. */
    @Override
    public FencingToken fencingToken() {
        return fencingToken;
    }

    /** The highest fencing token of any controller that the state service has returned. */
    public FencingToken highestFencingToken() {
        return FencingToken.newest(fencingToken, highestFencingToken);
    }

    /** The id of the grant of this controller's term. */
    @Override
    public long grant() {
        return grant;
    }

    /** The value that this controller writes to the leader key. */
    @Override
    public JsonNode leaderKeyValue() {
        return Json.object().put("node", node).put("grant", grant);
    }

    /** The name of the last known leader, or empty if none is known. */
    @Override
    public String leaderNode() {
        return leaderNode;
    }

    /** The precondition that every write of the leader must carry. */
    public Precondition fencingPrecondition() {
        return new Precondition(Keys.LEADER, fencingToken.value());
    }

    // ---- changes of the leader key

    /**
     * Handles a change of the leader key that the replica has received.
     *
     * @param value the key's new value, or null if it was deleted
     */
    public void leaderKeyChanged(JsonNode value, long modRevision) {
        leaderKeyKnown = true;
        consecutiveLostElections = 0;
        long previousGrant = leaderGrant;
        boolean deleted = value == null;
        leaderNode = deleted ? "" : value.path("node").asText();
        leaderGrant = deleted ? 0 : value.path("grant").longValue();
        FencingToken observed = deleted ? FencingToken.NONE : new FencingToken(modRevision);
        highestFencingToken = FencingToken.newest(highestFencingToken, observed);
        recordInitialLeader();
        boolean ownKey = !deleted && leaderNode.equals(node) && leaderGrant == grant && grant != 0;
        if (ownKey) {
            onOwnKeyWritten(observed);
        } else if (fencingToken.exists() && (deleted || observed.isNewerThan(fencingToken))) {
            endTerm("leader key deleted or held by another controller");
        }
        if (deleted && previousGrant != 0 && !fencingToken.exists()) {
            onLeaderKeyDeleted(previousGrant);
        }
    }

    private void onOwnKeyWritten(FencingToken written) {
        if (!fencingToken.exists()) {
            becomeLeader(written);
        } else if (written.isNewerThan(fencingToken)) {
            // A rewrite of the leader key without a response has taken effect; preconditions with
            // the older token fail from now on.
            fencingTokenRenewed(written);
        }
    }

    private void recordInitialLeader() {
        if (!initialLeaderRecorded) {
            initialLeaderRecorded = true;
            leaderGrantAtProcessStart = leaderGrant;
        }
    }

    /**
     * Handles the deletion of the leader key. A process that started under the previous leader
     * starts an election at once, all others after a short delay. In a rolling restart, such a
     * process has already been restarted; any other leader would be restarted within seconds, which
     * costs another failover.
     */
    private void onLeaderKeyDeleted(long previousGrant) {
        if (previousGrant != leaderGrantAtProcessStart) {
            delayNextElection(leaseTtlS * NEW_PROCESS_HEAD_START_FRACTION);
        } else if (canStartElection()) {
            startElection();
        }
    }

    /**
     * Called once the replica is loaded, so that an absent leader key means that there is no
     * leader.
     */
    public void replicaLoaded() {
        leaderKeyKnown = true;
        recordInitialLeader();
    }

    /**
     * Handles a fencing token received from a worker or peer. If it is newer than this controller's
     * own, the controller stops acting as leader until the state service has renewed its grant,
     * which succeeds only while the leader key is still attached to that grant. A forged token
     * therefore interrupts the leader only briefly.
     */
    public void observeFencingToken(FencingToken seen) {
        if (fencingToken.exists() && seen.isNewerThan(fencingToken) && !leadershipUnverified) {
            LOG.info(
                    "newer fencing token observed, waiting for the lease renewal: seen={}"
                            + " fencingToken={}",
                    seen,
                    fencingToken);
            leadershipUnverified = true;
            unverifiedSince = loop.now();
        }
    }

    // ---- election

    /**
     * Renews the lease or starts an election if either is due. Must be called several times per
     * lease TTL.
     */
    public void tick() {
        if (fencingToken.exists()) {
            renewLease();
        } else if (canStartElection()) {
            startElection();
        } else if (isLeaderKeyOrphaned()) {
            revokedOrphanGrant = leaderGrant;
            LOG.info(
                    "revoking orphaned leader grant of an earlier process: controller={} grant={}",
                    node,
                    leaderGrant);
            store.revokeGrant(leaderGrant);
        }
    }

    private boolean canStartElection() {
        return leaderKeyKnown
                && leaderNode.isEmpty()
                && !electionInFlight
                && loop.now() >= nextElectionNotBefore;
    }

    /**
     * Whether the leader key names this node although this process holds no grant. Either an
     * earlier process of this node wrote the key, or an election that this process abandoned took
     * effect late.
     */
    private boolean isLeaderKeyOrphaned() {
        return leaderKeyKnown
                && leaderNode.equals(node)
                && grant == 0
                && revokedOrphanGrant != leaderGrant;
    }

    private void startElection() {
        electionInFlight = true;
        double sentAt = loop.now();
        store.createGrant(leaseTtlS, outcome -> onElectionGrantOutcome(outcome, sentAt));
    }

    private void onElectionGrantOutcome(GrantOutcome outcome, double sentAt) {
        if (!(outcome instanceof GrantOutcome.Granted granted)) {
            electionInFlight = false;
            nextElectionNotBefore = loop.now() + leaseTtlS / ELECTION_BACKOFF_DIVISOR;
            return;
        }
        grant = granted.id();
        leaseValidUntil = leaseExpiry(sentAt);
        store.compareAndSwap(
                RequestPriority.GRANT,
                List.of(new Precondition(Keys.LEADER, 0)),
                List.of(new Mutation(Keys.LEADER, leaderKeyValue(), grant)),
                this::onElectionOutcome);
    }

    private void onElectionOutcome(CompareAndSwapOutcome outcome) {
        electionInFlight = false;
        if (outcome instanceof CompareAndSwapOutcome.Committed committed) {
            leaderNode = node;
            leaderGrant = grant;
            if (!fencingToken.exists()) {
                becomeLeader(new FencingToken(committed.revision()));
            }
        } else if (!fencingToken.exists()) {
            // If the outcome is unknown, the write may still have taken effect or do so later;
            // revoking the grant deletes the key in either case.
            store.revokeGrant(grant);
            grant = 0;
            boolean outcomeUnknown = outcome instanceof CompareAndSwapOutcome.Unknown;
            nextElectionNotBefore =
                    loop.now()
                            + (outcomeUnknown
                                    ? leaseTtlS * UNKNOWN_OUTCOME_BACKOFF_FRACTION
                                    : backoffAfterLostElection());
        }
    }

    /**
     * Returns the delay in seconds before the next election, and counts the lost one. Another
     * controller holds the leader key, or some other change has not reached the replica yet. Every
     * election costs three requests that the rate limiter never delays; frequent retries would
     * therefore leave no request budget for the watch that delivers the change.
     */
    private double backoffAfterLostElection() {
        double backoffS =
                leaseTtlS / ELECTION_BACKOFF_DIVISOR * Math.pow(2, consecutiveLostElections);
        consecutiveLostElections++;
        return Math.min(leaseTtlS, backoffS);
    }

    private void delayNextElection(double delayS) {
        nextElectionNotBefore = Math.max(nextElectionNotBefore, loop.now() + delayS);
    }

    private void becomeLeader(FencingToken token) {
        fencingToken = token;
        leadershipUnverified = false;
        LOG.info("elected leader: controller={} fencingToken={}", node, fencingToken);
        listener.elected(fencingToken);
    }

    // ---- lease and fencing token

    /**
     * Returns when a lease requested at the given loop time must be treated as expired. The TTL
     * counts from the sending of the request, since the service may have started it at any time
     * after that; a margin covers clock drift.
     */
    private double leaseExpiry(double sentAt) {
        return sentAt + leaseTtlS * USABLE_LEASE_FRACTION;
    }

    private void renewLease() {
        double sentAt = loop.now();
        if (leaseRenewalInFlight || sentAt < nextLeaseRenewalAt) {
            return;
        }
        leaseRenewalInFlight = true;
        nextLeaseRenewalAt = sentAt + leaseTtlS * LEASE_RENEWAL_FRACTION;
        long renewedGrant = grant;
        store.renewGrant(
                renewedGrant, outcome -> onLeaseRenewalOutcome(renewedGrant, outcome, sentAt));
    }

    private void onLeaseRenewalOutcome(long renewedGrant, GrantOutcome outcome, double sentAt) {
        leaseRenewalInFlight = false;
        if (grant != renewedGrant) {
            return;
        }
        if (outcome instanceof GrantOutcome.Granted) {
            leaseValidUntil = Math.max(leaseValidUntil, leaseExpiry(sentAt));
            leadershipUnverified &= sentAt < unverifiedSince;
        } else if (outcome instanceof GrantOutcome.Ended && fencingToken.exists()) {
            endTerm("leader grant expired or revoked");
        }
    }

    /**
     * Rewrites the leader key to obtain a new fencing token; workers that have seen the new token
     * reject every order that carries the old one.
     */
    public void renewFencingToken() {
        if (!holdsValidLease() || tokenRenewalInFlight) {
            return;
        }
        tokenRenewalInFlight = true;
        FencingToken previous = fencingToken;
        store.compareAndSwap(
                RequestPriority.GRANT,
                List.of(fencingPrecondition()),
                List.of(new Mutation(Keys.LEADER, leaderKeyValue(), grant)),
                outcome -> {
                    tokenRenewalInFlight = false;
                    if (outcome instanceof CompareAndSwapOutcome.Committed committed
                            && fencingToken.equals(previous)) {
                        fencingTokenRenewed(new FencingToken(committed.revision()));
                    }
                });
    }

    private void fencingTokenRenewed(FencingToken token) {
        fencingToken = token;
        listener.fencingTokenRenewed(fencingToken);
    }

    // ---- end of a term

    /**
     * Resigns the leadership; used when the controller can reach the state service but not the
     * workers.
     *
     * @param reason the reason, for the log
     * @param pauseS seconds during which this controller starts no election
     */
    public void stepDown(String reason, double pauseS) {
        if (fencingToken.exists()) {
            long revokedGrant = grant;
            endTerm(reason);
            store.revokeGrant(revokedGrant);
            nextElectionNotBefore = loop.now() + pauseS;
        }
    }

    private void endTerm(String reason) {
        LOG.info(
                "leadership lost: controller={} fencingToken={} reason=\"{}\"",
                node,
                fencingToken,
                reason);
        fencingToken = FencingToken.NONE;
        grant = 0;
        tokenRenewalInFlight = false;
        if (leaderNode.equals(node)) {
            leaderNode = "";
        }
        // The replica must receive the deletion of the old key before this node starts an election.
        delayNextElection(leaseTtlS / 4);
        listener.leadershipLost(reason);
    }
}
