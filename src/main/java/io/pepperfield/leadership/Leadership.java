package io.pepperfield.leadership;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.Keys;
import io.pepperfield.store.StateService;
import io.pepperfield.store.StateService.Change;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.StateService.TxnResult;
import io.pepperfield.store.StateService.Urgency;
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
    private static final double NEWCOMERS_FIRST = 1.0 / 20;

    /** The owner's reaction to changes of role; called on the event loop. */
    public interface Listener {
        /** This node leads from now on, with that token. */
        void elected(long token);

        /** The leader key was written anew: writes are guarded by this token from now on. */
        void renewedToken(long token);

        /** This node does not lead any more; {@code why} is for the log. */
        void deposed(String why);
    }

    private final Loop loop;
    private final StateService state;
    private final String node;
    private final double ttlS;
    private final Listener listener;

    private String leader = "";
    private long leaderGrant;
    private long leaderToken;
    private boolean known;
    private long token;
    private long grant;
    private double grantUntil;
    private boolean busy;
    private boolean minting;
    private boolean touching;
    private double touchAt;
    private double abstainUntil;

    /** Elections lost since the replica last brought news of the leader key. */
    private int electionsLost;

    /** The leader's grant when this process began, or 0 where nobody led. */
    private long grantAtStart;

    private boolean startSeen;

    /** The grant of an earlier process of this node that was last asked to be ended. */
    private long orphanEnded;

    private boolean doubted;
    private double doubtedAt;

    /**
     * Creates the state of a node that does not lead; {@code ttlS} is the lifetime of its grant in
     * seconds.
     */
    public Leadership(Loop loop, StateService state, String node, double ttlS, Listener listener) {
        this.loop = loop;
        this.state = state;
        this.node = node;
        this.ttlS = ttlS;
        this.listener = listener;
    }

    /**
     * Leading as far as this node knows: enough to keep leases alive, not to decide anything new.
     */
    public boolean leading() {
        return token != 0 && !doubted;
    }

    /** Leading, and the grant cannot have ended yet by this node's own reckoning. */
    @Override
    public boolean confirmed() {
        return leading() && loop.now() < grantUntil;
    }

    /** The token of this node's term, 0 while it does not lead. */
    @Override
    public long token() {
        return token;
    }

    /** The highest token that the state service has shown, whoever's it was. */
    public long leaderToken() {
        return Math.max(token, leaderToken);
    }

    /** The grant of this node's term. */
    @Override
    public long grant() {
        return grant;
    }

    /** What this node writes under the leader key. */
    @Override
    public JsonNode value() {
        return Json.object().put("node", node).put("grant", grant);
    }

    /** The leading node as far as known, or empty. */
    @Override
    public String leader() {
        return leader;
    }

    /** The condition that a leader's write must carry. */
    public Guard guard() {
        return new Guard(Keys.LEADER, token);
    }

    /** The replica's news of the leader key. */
    public void leaderKey(JsonNode data, long stamp) {
        known = true;
        electionsLost = 0;
        long lostGrant = leaderGrant;
        leader = data == null ? "" : data.path("node").asText();
        leaderToken = Math.max(leaderToken, data == null ? 0 : stamp);
        leaderGrant = data == null ? 0 : data.path("grant").longValue();
        noteStart();
        boolean mine = data != null && leader.equals(node) && leaderGrant == grant && grant != 0;
        if (mine && token == 0) {
            lead(stamp);
        } else if (mine && stamp > token) {
            // A renewal of which no answer came has taken effect: older guards fail from here on.
            token = stamp;
            listener.renewedToken(token);
        } else if (!mine && token != 0 && (data == null || stamp > token)) {
            depose("another node has the leader key");
        }
        if (data == null && lostGrant != 0 && token == 0) {
            succeed(lostGrant);
        }
    }

    private void noteStart() {
        if (!startSeen) {
            startSeen = true;
            grantAtStart = leaderGrant;
        }
    }

    /**
     * The leader is gone. A process that began under it is a newcomer and stands at once, the
     * others a moment later: while controllers are restarted one after the other, a newcomer has
     * had its turn, and any other leader would end within seconds, each time with a take-over.
     */
    private void succeed(long lostGrant) {
        if (lostGrant != grantAtStart) {
            abstainUntil = Math.max(abstainUntil, loop.now() + ttlS * NEWCOMERS_FIRST);
        } else if (mayStand()) {
            stand();
        }
    }

    private boolean mayStand() {
        return known && leader.isEmpty() && !busy && loop.now() >= abstainUntil;
    }

    /**
     * A worker or peer showed a token beyond this node's own: it stops acting until the state
     * service has renewed the grant, which it does only for the node that still has the key. A
     * made-up token thus stops it for a moment only.
     */
    public void sawToken(long seen) {
        if (token != 0 && seen > token && !doubted) {
            LOG.info("a newer token {} is about, own {}", seen, token);
            doubted = true;
            doubtedAt = loop.now();
        }
    }

    /**
     * Called when the replica is known to be loaded, so that a missing key means a missing leader.
     */
    public void replicaLoaded() {
        known = true;
        noteStart();
    }

    /** To be called a few times per ttl. */
    public void tick() {
        if (token != 0) {
            renew();
        } else if (mayStand()) {
            stand();
        } else if (known && leader.equals(node) && grant == 0 && orphanEnded != leaderGrant) {
            // The key names this node, which holds no grant: an earlier process of this node wrote
            // it and has ended, or an
            // election that this one gave up has been carried out late.
            orphanEnded = leaderGrant;
            LOG.info("ending the grant of this node's earlier process");
            state.endGrant(leaderGrant);
        }
    }

    private void stand() {
        busy = true;
        double sent = loop.now();
        state.grant(
                ttlS,
                granted -> {
                    if (granted.id() == 0) {
                        retry();
                        return;
                    }
                    grant = granted.id();
                    grantUntil = validity(sent);
                    state.txn(
                            Urgency.GRANT,
                            List.of(new Guard(Keys.LEADER, 0)),
                            List.of(new Change(Keys.LEADER, value(), grant)),
                            result -> {
                                busy = false;
                                if (result instanceof TxnResult.Committed done) {
                                    leader = node;
                                    leaderGrant = grant;
                                    if (token == 0) {
                                        lead(done.revision());
                                    }
                                } else if (!(result instanceof TxnResult.Unknown) && token == 0) {
                                    state.endGrant(grant);
                                    grant = 0;
                                    abstainUntil = loop.now() + afterLostElection();
                                } else if (token == 0) {
                                    // Perhaps elected without knowing it: ending the grant undoes
                                    // it whenever it takes effect.
                                    state.endGrant(grant);
                                    grant = 0;
                                    abstainUntil = loop.now() + ttlS / 4;
                                }
                            });
                });
    }

    /**
     * Another has the key, or something else has changed that this node has not heard of. To stand
     * again and again before the replica brings it would cost three requests each time, which never
     * wait, and so leave none for the follow that brings the news.
     */
    private double afterLostElection() {
        double pause = ttlS / 10 * Math.pow(2, electionsLost);
        electionsLost++;
        return Math.min(ttlS, pause);
    }

    private void retry() {
        busy = false;
        abstainUntil = loop.now() + ttlS / 10;
    }

    private void lead(long stamp) {
        token = stamp;
        doubted = false;
        LOG.info("leading with token {}", token);
        listener.elected(token);
    }

    /**
     * Counted from the sending, less clock drift and a margin: the service may have started its
     * clock then.
     */
    private double validity(double sent) {
        return sent + ttlS * 0.9;
    }

    private void renew() {
        double sent = loop.now();
        if (touching || sent < touchAt) {
            return;
        }
        touching = true;
        touchAt = sent + ttlS / 4;
        long touched = grant;
        state.touch(
                touched,
                result -> {
                    touching = false;
                    if (grant != touched) {
                        return;
                    }
                    if (result.id() != 0) {
                        grantUntil = Math.max(grantUntil, validity(sent));
                        doubted &= sent < doubtedAt;
                    } else if (result.gone() && token != 0) {
                        depose("the grant has ended");
                    }
                });
    }

    /**
     * Writes the leader key again: workers that have seen the new token refuse every order under
     * the old one.
     */
    public void mint() {
        if (!confirmed() || minting) {
            return;
        }
        minting = true;
        long before = token;
        state.txn(
                Urgency.GRANT,
                List.of(guard()),
                List.of(new Change(Keys.LEADER, value(), grant)),
                result -> {
                    minting = false;
                    if (result instanceof TxnResult.Committed done && token == before) {
                        token = done.revision();
                        listener.renewedToken(token);
                    }
                });
    }

    /** Gives the lead away, for a node that can reach the state service but not the workers. */
    public void abdicate(String why, double forS) {
        if (token != 0) {
            long given = grant;
            depose(why);
            state.endGrant(given);
            abstainUntil = loop.now() + forS;
        }
    }

    private void depose(String why) {
        LOG.info("no longer leading: {}", why);
        token = 0;
        grant = 0;
        minting = false;
        if (leader.equals(node)) {
            leader = "";
        }
        // The replica still has to bring the end of the old key before this node may stand again.
        abstainUntil = Math.max(abstainUntil, loop.now() + ttlS / 4);
        listener.deposed(why);
    }
}
