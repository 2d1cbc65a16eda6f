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
 * Leader election and the lease of the leader. The key {@code leader} is bound to a grant; the
 * modification revision that writing it returned is the fencing token. A write with that revision
 * as a precondition proves that its writer still led when it took effect. Confined to the event
 * loop's thread.
 */
public final class Leadership implements LeadershipView {

    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);

    /** Part of the lease for which candidates that are no newcomers hold back. */
    private static final double NEWCOMER_HEAD_START = 1.0 / 20;

    /** Part of the lease between two renewals. */
    private static final double RENEWAL_INTERVAL = 1.0 / 4;

    /** Part of the lease that this controller relies on; the rest covers clock drift. */
    private static final double RELIABLE_PART = 0.9;

    /** The lease is this many times the pause after a failed candidacy, which doubles with each. */
    private static final int LEASE_PER_ELECTION_BACKOFF = 10;

    /** Part of the lease before the next candidacy after one of which the outcome is unknown. */
    private static final double UNCERTAIN_ELECTION_BACKOFF = 1.0 / 4;

    /** The owner's reaction to changes of role; called on the event loop. */
    public interface Listener {
        /** This controller leads from now on, with that fencing token. */
        void elected(FencingToken token);

        /** The leader key was written anew: writes are fenced by this token from now on. */
        void fencingTokenRenewed(FencingToken token);

        /**
         * This controller does not lead any more.
         *
         * @param reason for the log
         */
        void leadershipLost(String reason);
    }

    private final Loop loop;
    private final KeyValueStore store;
    private final String node;
    private final double leaseTtlS;
    private final Listener listener;

    /** The node named by the leader key, or empty. */
    private String leaderNode = "";

    private long leaderGrant;
    private FencingToken highestFencingToken = FencingToken.NONE;
    private boolean leaderKeyKnown;

    /** The fencing token of this controller's term; none while it does not lead. */
    private FencingToken fencingToken = FencingToken.NONE;

    private long grant;
    private double leaseValidUntil;
    private boolean electionInFlight;
    private boolean tokenRenewalInFlight;
    private boolean leaseRenewalInFlight;
    private double nextLeaseRenewalAt;
    private double noCandidacyBefore;

    /** Elections lost since the replica last brought a change of the leader key. */
    private int consecutiveLostElections;

    /** The leader's grant when this process began, or 0 where nobody led. */
    private long grantAtProcessStart;

    private boolean initialLeaderSeen;

    /** The grant of an earlier process of this node that was last asked to be revoked. */
    private long revokedOrphanGrant;

    /** A newer fencing token was seen than this controller's own. */
    private boolean leadershipDoubted;

    private double doubtedAt;

    /**
     * Creates the state of a controller that does not lead.
     *
     * @param node this controller's name
     * @param leaseTtlS the lifetime of its grant in seconds
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
     * Whether this controller leads as far as it knows: enough to renew workers' leases, not to
     * decide anything new.
     */
    public boolean isLeader() {
        return fencingToken.exists() && !leadershipDoubted;
    }

    /** Whether it leads, and its lease cannot have expired by its own clock. */
    @Override
    public boolean holdsValidLease() {
        return isLeader() && loop.now() < leaseValidUntil;
    }

    /** The fencing token of this controller's term; none while it does not lead. */
    @Override
    public FencingToken fencingToken() {
        return fencingToken;
    }

    /** The highest fencing token that the state service has shown, whoever's it was. */
    public FencingToken highestFencingToken() {
        return FencingToken.newest(fencingToken, highestFencingToken);
    }

    /** The grant of this controller's term. */
    @Override
    public long grant() {
        return grant;
    }

    /** What this controller writes under the leader key. */
    @Override
    public JsonNode leaderKeyValue() {
        return Json.object().put("node", node).put("grant", grant);
    }

    /** The leading controller as far as known, or empty. */
    @Override
    public String leaderNode() {
        return leaderNode;
    }

    /** The precondition that a leader's write must carry. */
    public Precondition fencingPrecondition() {
        return new Precondition(Keys.LEADER, fencingToken.value());
    }

    // ---- changes of the leader key

    /**
     * The replica has brought a change of the leader key.
     *
     * @param value the key's value, or null where it was deleted
     */
    public void leaderKeyChanged(JsonNode value, long modRevision) {
        leaderKeyKnown = true;
        consecutiveLostElections = 0;
        long lostGrant = leaderGrant;
        boolean deleted = value == null;
        leaderNode = deleted ? "" : value.path("node").asText();
        leaderGrant = deleted ? 0 : value.path("grant").longValue();
        FencingToken shown = deleted ? FencingToken.NONE : new FencingToken(modRevision);
        highestFencingToken = FencingToken.newest(highestFencingToken, shown);
        recordInitialLeader();
        boolean own = !deleted && leaderNode.equals(node) && leaderGrant == grant && grant != 0;
        if (own) {
            ownKeyWritten(shown);
        } else if (fencingToken.exists() && (deleted || shown.isNewerThan(fencingToken))) {
            endTerm("another node has the leader key");
        }
        if (deleted && lostGrant != 0 && !fencingToken.exists()) {
            onLeaderGone(lostGrant);
        }
    }

    private void ownKeyWritten(FencingToken written) {
        if (!fencingToken.exists()) {
            becomeLeader(written);
        } else if (written.isNewerThan(fencingToken)) {
            // A renewal that was not answered has taken effect: older preconditions fail from here
            // on.
            fencingTokenRenewed(written);
        }
    }

    private void recordInitialLeader() {
        if (!initialLeaderSeen) {
            initialLeaderSeen = true;
            grantAtProcessStart = leaderGrant;
        }
    }

    /**
     * The leader is gone. A process that began under it is a newcomer and stands for election at
     * once, the others a moment later: while controllers are restarted one after the other, a
     * newcomer has had its turn, and any other leader would end within seconds, each time with a
     * failover.
     */
    private void onLeaderGone(long lostGrant) {
        if (lostGrant != grantAtProcessStart) {
            noCandidacyFor(leaseTtlS * NEWCOMER_HEAD_START);
        } else if (mayStandForElection()) {
            standForElection();
        }
    }

    /**
     * Called when the replica is known to be loaded, so that a missing key means a missing leader.
     */
    public void replicaLoaded() {
        leaderKeyKnown = true;
        recordInitialLeader();
    }

    /**
     * A worker or peer has shown a fencing token. If it is newer than this controller's own, the
     * controller stops acting until the state service has renewed its grant, which it does only for
     * the controller that still has the key. A made-up token thus stops it for a moment only.
     */
    public void observeFencingToken(FencingToken seen) {
        if (fencingToken.exists() && seen.isNewerThan(fencingToken) && !leadershipDoubted) {
            LOG.info(
                    "newer fencing token seen, waiting for the lease's renewal: seen={}"
                            + " fencingToken={}",
                    seen,
                    fencingToken);
            leadershipDoubted = true;
            doubtedAt = loop.now();
        }
    }

    // ---- election

    /** Renews the lease or stands for election where due; to be called a few times per lease. */
    public void tick() {
        if (fencingToken.exists()) {
            renewLease();
        } else if (mayStandForElection()) {
            standForElection();
        } else if (ownsOrphanedKey()) {
            revokedOrphanGrant = leaderGrant;
            LOG.info(
                    "revoking the grant of an earlier process of this controller: controller={} grant={}",
                    node,
                    leaderGrant);
            store.revokeGrant(leaderGrant);
        }
    }

    private boolean mayStandForElection() {
        return leaderKeyKnown
                && leaderNode.isEmpty()
                && !electionInFlight
                && loop.now() >= noCandidacyBefore;
    }

    /**
     * The key names this node, which holds no grant: an earlier process of this node wrote it and
     * has ended, or an election that this process gave up has been carried out late.
     */
    private boolean ownsOrphanedKey() {
        return leaderKeyKnown
                && leaderNode.equals(node)
                && grant == 0
                && revokedOrphanGrant != leaderGrant;
    }

    private void standForElection() {
        electionInFlight = true;
        double sentAt = loop.now();
        store.createGrant(leaseTtlS, outcome -> candidateGrant(outcome, sentAt));
    }

    private void candidateGrant(GrantOutcome outcome, double sentAt) {
        if (!(outcome instanceof GrantOutcome.Granted granted)) {
            electionInFlight = false;
            noCandidacyBefore = loop.now() + leaseTtlS / LEASE_PER_ELECTION_BACKOFF;
            return;
        }
        grant = granted.id();
        leaseValidUntil = leaseEnd(sentAt);
        store.compareAndSwap(
                RequestPriority.GRANT,
                List.of(new Precondition(Keys.LEADER, 0)),
                List.of(new Mutation(Keys.LEADER, leaderKeyValue(), grant)),
                this::electionEnded);
    }

    private void electionEnded(CompareAndSwapOutcome outcome) {
        electionInFlight = false;
        if (outcome instanceof CompareAndSwapOutcome.Committed committed) {
            leaderNode = node;
            leaderGrant = grant;
            if (!fencingToken.exists()) {
                becomeLeader(new FencingToken(committed.revision()));
            }
        } else if (!fencingToken.exists()) {
            // Also where the outcome is unknown, perhaps elected without knowing it: revoking the
            // grant undoes it whenever it takes effect.
            store.revokeGrant(grant);
            grant = 0;
            boolean uncertain = outcome instanceof CompareAndSwapOutcome.Unknown;
            noCandidacyBefore =
                    loop.now()
                            + (uncertain
                                    ? leaseTtlS * UNCERTAIN_ELECTION_BACKOFF
                                    : backoffAfterLostElection());
        }
    }

    /**
     * Another controller has the key, or something else has changed that this one has not heard of.
     * To stand again and again before the replica brings it would cost three requests each time,
     * which never wait, and so leave none for the watch that brings the change.
     */
    private double backoffAfterLostElection() {
        double pause =
                leaseTtlS / LEASE_PER_ELECTION_BACKOFF * Math.pow(2, consecutiveLostElections);
        consecutiveLostElections++;
        return Math.min(leaseTtlS, pause);
    }

    private void noCandidacyFor(double seconds) {
        noCandidacyBefore = Math.max(noCandidacyBefore, loop.now() + seconds);
    }

    private void becomeLeader(FencingToken token) {
        fencingToken = token;
        leadershipDoubted = false;
        LOG.info("elected leader: controller={} fencingToken={}", node, fencingToken);
        listener.elected(fencingToken);
    }

    // ---- lease and fencing token

    /**
     * Counted from the sending, less clock drift and a margin: the service may have started its
     * clock then.
     */
    private double leaseEnd(double sentAt) {
        return sentAt + leaseTtlS * RELIABLE_PART;
    }

    private void renewLease() {
        double sentAt = loop.now();
        if (leaseRenewalInFlight || sentAt < nextLeaseRenewalAt) {
            return;
        }
        leaseRenewalInFlight = true;
        nextLeaseRenewalAt = sentAt + leaseTtlS * RENEWAL_INTERVAL;
        long renewed = grant;
        store.renewGrant(renewed, outcome -> leaseRenewed(renewed, outcome, sentAt));
    }

    private void leaseRenewed(long renewed, GrantOutcome outcome, double sentAt) {
        leaseRenewalInFlight = false;
        if (grant != renewed) {
            return;
        }
        if (outcome instanceof GrantOutcome.Granted) {
            leaseValidUntil = Math.max(leaseValidUntil, leaseEnd(sentAt));
            leadershipDoubted &= sentAt < doubtedAt;
        } else if (outcome instanceof GrantOutcome.Ended && fencingToken.exists()) {
            endTerm("the grant has ended");
        }
    }

    /**
     * Writes the leader key again: workers that have seen the new fencing token refuse every order
     * under the old one.
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
     * Gives the leadership away, for a controller that can reach the state service but not the
     * workers.
     *
     * @param reason for the log
     * @param pauseS seconds for which it does not stand for election
     */
    public void stepDown(String reason, double pauseS) {
        if (fencingToken.exists()) {
            long revoked = grant;
            endTerm(reason);
            store.revokeGrant(revoked);
            noCandidacyBefore = loop.now() + pauseS;
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
        // The replica still has to bring the end of the old key before this node may stand again.
        noCandidacyFor(leaseTtlS / 4);
        listener.leadershipLost(reason);
    }
}
