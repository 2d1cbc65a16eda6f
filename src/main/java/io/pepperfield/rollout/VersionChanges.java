package io.pepperfield.rollout;

import io.pepperfield.leadership.LeaderClaim;
import io.pepperfield.rollout.ClusterVersion.Phase;
import io.pepperfield.store.Keys;
import io.pepperfield.store.StateService;
import io.pepperfield.store.StateService.Change;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.StateService.TxnResult;
import io.pepperfield.store.StateService.Urgency;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.Consumer;

/**
 * The transactions that change the version record, each by the leader and guarded by its token and
 * the record's stamp. All may be repeated after a lost answer.
 */
final class VersionChanges {

    private final StateService raw;
    private final VersionGate gate;
    private final VersionedStateService forms;
    private final MemberRegistry registry;
    private final LeaderClaim claim;

    VersionChanges(
            StateService raw,
            VersionGate gate,
            VersionedStateService forms,
            MemberRegistry registry,
            LeaderClaim claim) {
        this.raw = raw;
        this.gate = gate;
        this.forms = forms;
        this.registry = registry;
        this.claim = claim;
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
            Consumer<RolloutAnswer> done) {
        ClusterVersion now = gate.version();
        if (now.phase() != Phase.ROLLING_BACK && now.writes() == target) {
            confirm("version " + target + " is active", done);
            return;
        }
        String refusal = refusal(now, target, without, olderRetired);
        if (refusal != null) {
            done.accept(new RolloutAnswer.Refused(refusal));
            return;
        }
        List<Guard> guards = leadersGuards();
        guards.addAll(registry.guards(without));
        List<Change> changes = new ArrayList<>();
        changes.add(version(now.activated(target, List.copyOf(without))));
        if (!gate.fenced()) {
            moveLeaderKey(Keys.LEADER, Keys.SECOND_LEADER, changes);
        }
        apply(guards, changes, "version " + target + " is active", done);
    }

    private String refusal(
            ClusterVersion now, int target, Collection<String> without, boolean olderRetired) {
        if (target > gate.release().writes()) {
            return "version "
                    + target
                    + " is not known to this release, which writes "
                    + gate.release().writes();
        }
        if (target != now.finalized() + 1) {
            return "version " + target + " cannot follow version " + now.finalized();
        }
        for (String node : without) {
            if (!registry.isConfigured(node)) {
                return node + " is no configured controller";
            }
        }
        if (now.finalized() == StoredVersions.FIRST && !olderRetired) {
            return "releases without a version gate cannot read version "
                    + target
                    + ": repeat with --older-releases-retired once none will be started again";
        }
        List<String> waiting = registry.waitingFor(target, without);
        return waiting.isEmpty() ? null : "waits for: " + String.join("; ", waiting);
    }

    /** Makes the active version the only one. */
    void finalizeActive(Consumer<RolloutAnswer> done) {
        ClusterVersion now = gate.version();
        switch (now.phase()) {
            case FINALIZED -> confirm("version " + now.writes() + " is final", done);
            case ROLLING_BACK -> done.accept(new RolloutAnswer.Refused("a rollback is under way"));
            case ACTIVE ->
                    apply(
                            leadersGuards(),
                            List.of(version(now.asFinal())),
                            "version " + now.writes() + " is final",
                            done);
        }
    }

    /** Begins the way back to the final version; what is newer is rewritten from then on. */
    void rollback(Consumer<RolloutAnswer> done) {
        ClusterVersion now = gate.version();
        switch (now.phase()) {
            case FINALIZED -> noWayBack(now, done);
            case ROLLING_BACK ->
                    confirm(
                            "rolling back, about " + forms.compactRecords() + " records are left",
                            done);
            case ACTIVE ->
                    apply(
                            leadersGuards(),
                            List.of(version(now.rollingBack())),
                            "rolling back to version " + now.finalized(),
                            done);
        }
    }

    private void noWayBack(ClusterVersion now, Consumer<RolloutAnswer> done) {
        if (now.writes() == StoredVersions.FIRST) {
            confirm("version 1 is the only one", done);
        } else {
            done.accept(
                    new RolloutAnswer.Refused(
                            "version " + now.writes() + " is final: there is no way back"));
        }
    }

    /** Ends a rollback: nothing of the newer version is left, and older releases may lead again. */
    void rolledBack(Consumer<RolloutAnswer> done) {
        List<Change> changes = new ArrayList<>();
        changes.add(version(gate.version().rolledBack()));
        moveLeaderKey(Keys.SECOND_LEADER, Keys.LEADER, changes);
        apply(leadersGuards(), changes, "rolled back", done);
    }

    /** This node's lead goes on under the other key; nobody can be elected under the old one. */
    private void moveLeaderKey(String from, String to, List<Change> changes) {
        changes.add(Change.set(from, VersionedStateService.fence()));
        changes.add(new Change(to, claim.value(), claim.grant()));
    }

    private static Change version(ClusterVersion version) {
        return Change.set(Keys.ROLLOUT_VERSION, version.write());
    }

    /** The conditions of every change of the version. */
    List<Guard> leadersGuards() {
        List<Guard> guards = new ArrayList<>();
        guards.add(gate.guard());
        guards.add(new Guard(forms.leaderKey(), claim.token()));
        return guards;
    }

    /** Says so if the version known here is still the one in force: another may have changed it. */
    private void confirm(String text, Consumer<RolloutAnswer> done) {
        apply(leadersGuards(), List.of(), text, done);
    }

    private void apply(
            List<Guard> guards, List<Change> changes, String text, Consumer<RolloutAnswer> done) {
        raw.txn(
                Urgency.RUN,
                guards,
                changes,
                result -> {
                    if (result instanceof TxnResult.Committed) {
                        done.accept(new RolloutAnswer.Done(text));
                    } else if (result instanceof TxnResult.Unknown) {
                        done.accept(new RolloutAnswer.Repeat("no answer came; repeat the command"));
                    } else {
                        done.accept(
                                new RolloutAnswer.Repeat(
                                        "the cluster changed meanwhile; repeat the command"));
                    }
                });
    }
}
