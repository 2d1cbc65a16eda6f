package io.pepperfield.rollout;

import io.pepperfield.leadership.LeadershipView;
import io.pepperfield.rollout.ClusterVersion.Phase;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import io.pepperfield.store.Keys;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * The transactions that change the version record, each by the leader and guarded by its fencing
 * token and the record's modification revision. All may be repeated after a lost answer.
 */
final class VersionTransitions {

    private final KeyValueStore store;
    private final VersionGate gate;
    private final VersionedKeyValueStore versionedStore;
    private final MemberRegistry registry;
    private final LeadershipView leaderClaim;

    VersionTransitions(
            KeyValueStore store,
            VersionGate gate,
            VersionedKeyValueStore versionedStore,
            MemberRegistry registry,
            LeadershipView leaderClaim) {
        this.store = store;
        this.gate = gate;
        this.versionedStore = versionedStore;
        this.registry = registry;
        this.leaderClaim = leaderClaim;
    }

    /**
     * Activates a version.
     *
     * @param without controllers that are not waited for
     * @param olderRetired an operator's word that no release without a version gate will be started
     */
    void activate(
            int target,
            Collection<String> without,
            boolean olderRetired,
            Consumer<RolloutResult> done) {
        ClusterVersion now = gate.version();
        if (now.phase() != Phase.ROLLING_BACK && now.writeVersion() == target) {
            confirm("version " + target + " is active", done);
            return;
        }
        Optional<String> refusal = activationRefusal(now, target, without, olderRetired);
        if (refusal.isPresent()) {
            done.accept(new RolloutResult.Refused(refusal.get()));
            return;
        }
        List<Precondition> preconditions = leaderPreconditions();
        preconditions.addAll(registry.declarationPreconditions(without));
        List<Mutation> mutations = new ArrayList<>();
        mutations.add(versionMutation(now.activated(target, List.copyOf(without))));
        if (!gate.fencesOlderReleases()) {
            moveLeaderKey(Keys.LEADER, Keys.V2_LEADER, mutations);
        }
        execute(preconditions, mutations, "version " + target + " is active", done);
    }

    private Optional<String> activationRefusal(
            ClusterVersion now, int target, Collection<String> without, boolean olderRetired) {
        if (target > gate.release().newestWritten()) {
            return Optional.of(
                    "version "
                            + target
                            + " is not known to this release, which writes "
                            + gate.release().newestWritten());
        }
        if (target != now.finalizedVersion() + 1) {
            return Optional.of(
                    "version " + target + " cannot follow version " + now.finalizedVersion());
        }
        for (String node : without) {
            if (!registry.isConfigured(node)) {
                return Optional.of(node + " is no configured controller");
            }
        }
        if (now.finalizedVersion() == StoredVersions.FIRST && !olderRetired) {
            return Optional.of(
                    "releases without a version gate cannot read version "
                            + target
                            + ": repeat with --older-releases-retired once none will be started again");
        }
        List<String> blockers = registry.activationBlockers(target, without);
        return blockers.isEmpty()
                ? Optional.empty()
                : Optional.of("waits for: " + String.join("; ", blockers));
    }

    /** Makes the active version the only one. */
    void finalizeActive(Consumer<RolloutResult> done) {
        ClusterVersion now = gate.version();
        switch (now.phase()) {
            case FINALIZED -> confirm("version " + now.writeVersion() + " is final", done);
            case ROLLING_BACK -> done.accept(new RolloutResult.Refused("a rollback is under way"));
            case ACTIVE ->
                    execute(
                            leaderPreconditions(),
                            List.of(versionMutation(now.asFinalized())),
                            "version " + now.writeVersion() + " is final",
                            done);
        }
    }

    /** Begins the way back to the final version; what is newer is rewritten from then on. */
    void rollback(Consumer<RolloutResult> done) {
        ClusterVersion now = gate.version();
        switch (now.phase()) {
            case FINALIZED -> answerFinalizedRollback(now, done);
            case ROLLING_BACK ->
                    confirm(
                            "rolling back, about "
                                    + versionedStore.compactRecordCount()
                                    + " records are left",
                            done);
            case ACTIVE ->
                    execute(
                            leaderPreconditions(),
                            List.of(versionMutation(now.rollingBack())),
                            "rolling back to version " + now.finalizedVersion(),
                            done);
        }
    }

    private void answerFinalizedRollback(ClusterVersion now, Consumer<RolloutResult> done) {
        if (now.writeVersion() == StoredVersions.FIRST) {
            confirm("version 1 is the only one", done);
        } else {
            done.accept(
                    new RolloutResult.Refused(
                            "version " + now.writeVersion() + " is final: there is no way back"));
        }
    }

    /** Ends a rollback: nothing of the newer version is left, and older releases may lead again. */
    void completeRollback(Consumer<RolloutResult> done) {
        List<Mutation> mutations = new ArrayList<>();
        mutations.add(versionMutation(gate.version().rolledBack()));
        moveLeaderKey(Keys.V2_LEADER, Keys.LEADER, mutations);
        execute(leaderPreconditions(), mutations, "rolled back", done);
    }

    /** This node's lead goes on under the other key; nobody can be elected under the old one. */
    private void moveLeaderKey(String from, String to, List<Mutation> mutations) {
        mutations.add(Mutation.set(from, VersionedKeyValueStore.fenceValue()));
        mutations.add(new Mutation(to, leaderClaim.leaderKeyValue(), leaderClaim.grant()));
    }

    private static Mutation versionMutation(ClusterVersion version) {
        return Mutation.set(Keys.ROLLOUT_VERSION, version.toJson());
    }

    /** The preconditions of every change of the version. */
    List<Precondition> leaderPreconditions() {
        List<Precondition> preconditions = new ArrayList<>();
        preconditions.add(gate.precondition());
        preconditions.add(
                new Precondition(versionedStore.leaderKey(), leaderClaim.fencingToken().value()));
        return preconditions;
    }

    /** Says so if the version known here is still the one in force: another may have changed it. */
    private void confirm(String text, Consumer<RolloutResult> done) {
        execute(leaderPreconditions(), List.of(), text, done);
    }

    private void execute(
            List<Precondition> preconditions,
            List<Mutation> mutations,
            String text,
            Consumer<RolloutResult> done) {
        store.compareAndSwap(
                RequestPriority.LEADER_WRITE,
                preconditions,
                mutations,
                outcome -> done.accept(toResult(outcome, text)));
    }

    private static RolloutResult toResult(CompareAndSwapOutcome outcome, String text) {
        if (outcome instanceof CompareAndSwapOutcome.Committed) {
            return new RolloutResult.Completed(text);
        }
        if (outcome instanceof CompareAndSwapOutcome.Unknown) {
            return new RolloutResult.RetryLater("no answer came; repeat the command");
        }
        return new RolloutResult.RetryLater("the cluster changed meanwhile; repeat the command");
    }
}
