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
 * The transactions that change the version record. Only the leader makes them, with preconditions
 * on its fencing token and the record's modification revision. All can be repeated after a lost
 * response.
 */
final class VersionTransitions {

    private final KeyValueStore store;
    private final VersionGate gate;
    private final VersionedKeyValueStore versionedStore;
    private final MemberRegistry registry;
    private final LeadershipView leadership;

    VersionTransitions(
            KeyValueStore store,
            VersionGate gate,
            VersionedKeyValueStore versionedStore,
            MemberRegistry registry,
            LeadershipView leadership) {
        this.store = store;
        this.gate = gate;
        this.versionedStore = versionedStore;
        this.registry = registry;
        this.leadership = leadership;
    }

    /**
     * Activates a version.
     *
     * @param excluded controllers that the activation does not wait for
     * @param olderReleasesRetired an operator's confirmation that no release without a version gate
     *     will be started again
     */
    void activate(
            int target,
            Collection<String> excluded,
            boolean olderReleasesRetired,
            Consumer<RolloutResult> done) {
        ClusterVersion current = gate.version();
        if (current.phase() != Phase.ROLLING_BACK && current.writeVersion() == target) {
            confirmCurrentVersion("version " + target + " is active", done);
            return;
        }
        Optional<String> refusal =
                activationRefusal(current, target, excluded, olderReleasesRetired);
        if (refusal.isPresent()) {
            done.accept(new RolloutResult.Refused(refusal.get()));
            return;
        }
        List<Precondition> preconditions = leaderPreconditions();
        preconditions.addAll(registry.declarationPreconditions(excluded));
        List<Mutation> mutations = new ArrayList<>();
        mutations.add(versionMutation(current.activated(target, List.copyOf(excluded))));
        if (!gate.fencesOlderReleases()) {
            moveLeaderKey(Keys.LEADER, Keys.V2_LEADER, mutations);
        }
        execute(preconditions, mutations, "version " + target + " is active", done);
    }

    private Optional<String> activationRefusal(
            ClusterVersion current,
            int target,
            Collection<String> excluded,
            boolean olderReleasesRetired) {
        if (target > gate.release().newestWritten()) {
            return Optional.of(
                    "version "
                            + target
                            + " is not known to this release, which writes "
                            + gate.release().newestWritten());
        }
        if (target != current.finalizedVersion() + 1) {
            return Optional.of(
                    "version " + target + " cannot follow version " + current.finalizedVersion());
        }
        for (String node : excluded) {
            if (!registry.isConfigured(node)) {
                return Optional.of(node + " is no configured controller");
            }
        }
        if (current.finalizedVersion() == StoredVersions.FIRST && !olderReleasesRetired) {
            return Optional.of(
                    "releases without a version gate cannot read version "
                            + target
                            + ": repeat with --older-releases-retired once none will be started again");
        }
        List<String> blockers = registry.activationBlockers(target, excluded);
        return blockers.isEmpty()
                ? Optional.empty()
                : Optional.of("waits for: " + String.join("; ", blockers));
    }

    /** Finalizes the active version, which rules out a rollback. */
    void finalizeActive(Consumer<RolloutResult> done) {
        ClusterVersion current = gate.version();
        switch (current.phase()) {
            case FINALIZED ->
                    confirmCurrentVersion("version " + current.writeVersion() + " is final", done);
            case ROLLING_BACK -> done.accept(new RolloutResult.Refused("a rollback is under way"));
            case ACTIVE ->
                    execute(
                            leaderPreconditions(),
                            List.of(versionMutation(current.asFinalized())),
                            "version " + current.writeVersion() + " is final",
                            done);
        }
    }

    /** Starts a rollback to the finalized version; newer records are rewritten from then on. */
    void rollback(Consumer<RolloutResult> done) {
        ClusterVersion current = gate.version();
        switch (current.phase()) {
            case FINALIZED -> replyToRollbackOfFinalized(current, done);
            case ROLLING_BACK ->
                    confirmCurrentVersion(
                            "rolling back, about "
                                    + versionedStore.compactRecordCount()
                                    + " records are left",
                            done);
            case ACTIVE ->
                    execute(
                            leaderPreconditions(),
                            List.of(versionMutation(current.rollingBack())),
                            "rolling back to version " + current.finalizedVersion(),
                            done);
        }
    }

    private void replyToRollbackOfFinalized(ClusterVersion current, Consumer<RolloutResult> done) {
        if (current.writeVersion() == StoredVersions.FIRST) {
            confirmCurrentVersion("version 1 is the only one", done);
        } else {
            done.accept(
                    new RolloutResult.Refused(
                            "version "
                                    + current.writeVersion()
                                    + " is final: there is no way back"));
        }
    }

    /** Completes a rollback once no newer records are left; older releases may lead again. */
    void completeRollback(Consumer<RolloutResult> done) {
        List<Mutation> mutations = new ArrayList<>();
        mutations.add(versionMutation(gate.version().rolledBack()));
        moveLeaderKey(Keys.V2_LEADER, Keys.LEADER, mutations);
        execute(leaderPreconditions(), mutations, "rolled back", done);
    }

    /** Moves this node's leadership to the other key and prevents elections under the old one. */
    private void moveLeaderKey(String from, String to, List<Mutation> mutations) {
        mutations.add(Mutation.set(from, VersionedKeyValueStore.fenceValue()));
        mutations.add(new Mutation(to, leadership.leaderKeyValue(), leadership.grant()));
    }

    private static Mutation versionMutation(ClusterVersion version) {
        return Mutation.set(Keys.ROLLOUT_VERSION, version.toJson());
    }

    /** The preconditions of every change of the version record. */
    List<Precondition> leaderPreconditions() {
        List<Precondition> preconditions = new ArrayList<>();
        preconditions.add(gate.precondition());
        preconditions.add(
                new Precondition(versionedStore.leaderKey(), leadership.fencingToken().value()));
        return preconditions;
    }

    /**
     * Reports success without a change if the version known here is still the current one; another
     * leader may have changed it.
     */
    private void confirmCurrentVersion(String message, Consumer<RolloutResult> done) {
        execute(leaderPreconditions(), List.of(), message, done);
    }

    private void execute(
            List<Precondition> preconditions,
            List<Mutation> mutations,
            String message,
            Consumer<RolloutResult> done) {
        store.compareAndSwap(
                RequestPriority.LEADER_WRITE,
                preconditions,
                mutations,
                outcome -> done.accept(toResult(outcome, message)));
    }

    private static RolloutResult toResult(CompareAndSwapOutcome outcome, String message) {
        if (outcome instanceof CompareAndSwapOutcome.Committed) {
            return new RolloutResult.Completed(message);
        }
        if (outcome instanceof CompareAndSwapOutcome.Unknown) {
            return new RolloutResult.RetryLater("no answer came; repeat the command");
        }
        return new RolloutResult.RetryLater("the cluster changed meanwhile; repeat the command");
    }
}
