package io.pepperfield.controller;

import io.pepperfield.admission.Admission;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.ReplicaSynchronizer;
import java.util.Optional;

/**
 * Applies changes of leadership to the components of this controller, in a fixed order. The leader
 * starts once the replica contains everything that was written before the election.
 */
final class LeadershipTransitions implements Leadership.Listener {

    private final Loop loop;
    private final double retryS;
    private final Leadership leadership;
    private final ReplicaSynchronizer synchronizer;
    private final RoleRateLimits rateLimits;
    private final FencedWriter writer;
    private final Optional<Admission> admission;
    private final CurrentLeader currentLeader;

    /**
     * @param retryS seconds between two attempts to confirm that the replica contains everything
     *     written before the election
     */
    LeadershipTransitions(
            Loop loop,
            double retryS,
            Leadership leadership,
            ReplicaSynchronizer synchronizer,
            RoleRateLimits rateLimits,
            FencedWriter writer,
            Optional<Admission> admission,
            CurrentLeader currentLeader) {
        this.loop = loop;
        this.retryS = retryS;
        this.leadership = leadership;
        this.synchronizer = synchronizer;
        this.rateLimits = rateLimits;
        this.writer = writer;
        this.admission = admission;
        this.currentLeader = currentLeader;
    }

    @Override
    public void elected(FencingToken token) {
        rateLimits.applyForRole(true);
        writer.reset();
        admission.ifPresent(enabled -> enabled.elected(token));
        confirmReplica(token);
    }

    private void confirmReplica(FencingToken elected) {
        synchronizer.awaitReadIndex(current -> replicaConfirmed(elected, current));
    }

    /**
     * @param elected the fencing token of the election that the confirmation was requested for
     * @param current whether the replica contains everything written before the request
     */
    private void replicaConfirmed(FencingToken elected, boolean current) {
        if (leadership.fencingToken().isOlderThan(elected) || currentLeader.isPresent()) {
            return;
        }
        if (current) {
            currentLeader.start();
        } else {
            loop.schedule(retryS, () -> confirmReplica(elected));
        }
    }

    @Override
    public void fencingTokenRenewed(FencingToken token) {
        admission.ifPresent(enabled -> enabled.fencingTokenRenewed(token));
        currentLeader.get().ifPresent(leader -> leader.fencingTokenRenewed(token));
    }

    @Override
    public void leadershipLost(String reason) {
        rateLimits.applyForRole(false);
        admission.ifPresent(Admission::leadershipLost);
        currentLeader.stop();
        writer.reset();
    }
}
