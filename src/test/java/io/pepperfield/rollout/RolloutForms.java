package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.forms.FormFile;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.jobs.RunRecord.State;
import io.pepperfield.standin.SilentStateService;
import io.pepperfield.store.Keys;
import io.pepperfield.store.StateService;
import io.pepperfield.store.StateService.Change;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.StateService.Urgency;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/** What is stored for the rollout of stored-state versions, and in the second of them. */
public final class RolloutForms {

    private static final ClusterVersion ACTIVE = ClusterVersion.INITIAL.activated(2, List.of("a"));

    private RolloutForms() {}

    /** Adds them. */
    public static void write(FormFile file) {
        file.add("path", Rollout.PATH);
        file.add("this release", new MemberRelease(Release.CURRENT, "a-process", 9).write());
        for (ClusterVersion version :
                List.of(
                        ClusterVersion.INITIAL,
                        ACTIVE,
                        ACTIVE.asFinal(),
                        ACTIVE.rollingBack(),
                        ACTIVE.rolledBack())) {
            file.add("phase", version.phase().name());
            file.addRewritten("version", version.write(), RolloutForms::rewriteVersion);
        }
        file.addRead("version", ACTIVE.write(), RolloutForms::rewriteVersion);
        MemberRelease member = new MemberRelease(new Release("9.1.0", 1, 3, 2), "a-process", 9);
        file.addRewrittenByField("member", member.write(), RolloutForms::rewriteMember);
        file.add("fence", VersionedStateService.fence());
        String key = Keys.run("run-000412", 3);
        file.add("key of a compact run record", VersionedStateService.compactKey(key));
        file.add("and back", VersionedStateService.firstKey(VersionedStateService.compactKey(key)));
        JsonNode first = RunRecord.write(lines());
        file.add("run record", first);
        file.addRewritten(
                "compact run record",
                CompactRunRecords.encode(first),
                form -> text(CompactRunRecords.encode(CompactRunRecords.decode(form))));
        file.addRead(
                "compact run record decoded",
                CompactRunRecords.encode(first),
                form -> text(CompactRunRecords.decode(form)));
        writeTransactions(file);
        file.add("done", new RolloutAnswer.Done("version 2 is active").reply());
        file.add("refused", new RolloutAnswer.Refused("a rollback is under way").reply());
        file.add("to be repeated", new RolloutAnswer.Repeat("not the leader").reply());
    }

    private static List<RunRecord> lines() {
        return List.of(
                new RunRecord(0, 1, State.DONE, "", 0),
                new RunRecord(1, 1, State.DONE, "", 0),
                new RunRecord(2, 2, State.DONE, "", 0),
                new RunRecord(3, 1, State.LIVE, "host-000012", 4),
                new RunRecord(4, 1, State.LIVE, "host-000012", 4),
                new RunRecord(5, 1, State.LIVE, "host-000013", 1),
                new RunRecord(6, 1, State.GONE, "", 0),
                new RunRecord(8, 3, State.FAILED, "", 0));
    }

    private static String rewriteVersion(JsonNode form) {
        ClusterVersion version = ClusterVersion.read(form);
        return version == null ? null : text(version.write());
    }

    private static String rewriteMember(JsonNode form) {
        MemberRelease member = MemberRelease.read(form, 9);
        return member == null ? null : text(member.write());
    }

    /** How the transactions of the rest of the program are stored in each version. */
    private static void writeTransactions(FormFile file) {
        StateService raw = new RecordingStateService(file);
        for (ClusterVersion version : List.of(ClusterVersion.INITIAL, ACTIVE)) {
            VersionGate gate = new VersionGate(Release.CURRENT);
            gate.changed(version.write(), 17);
            gate.loaded();
            new VersionedStateService(raw, gate)
                    .txn(
                            Urgency.RUN,
                            List.of(
                                    new Guard(Keys.LEADER, 41),
                                    new Guard(Keys.run("run-000412", 0), 0)),
                            List.of(
                                    Change.set(Keys.run("run-000412", 0), RunRecord.write(lines())),
                                    Change.set(Keys.SHARED + "41-1", Json.object()),
                                    Change.delete(Keys.TYPES)),
                            result -> {});
        }
    }

    private static String text(JsonNode form) {
        return new String(Json.write(form), StandardCharsets.UTF_8);
    }

    /** Adds each transaction as it reaches the state service. */
    private record RecordingStateService(FormFile file) implements SilentStateService {
        @Override
        public void txn(
                Urgency urgency,
                List<Guard> guards,
                List<Change> changes,
                Consumer<TxnResult> done) {
            guards.forEach(guard -> file.add("guard " + guard.key(), "at " + guard.stamp()));
            changes.forEach(
                    change -> file.add("change " + change.key(), String.valueOf(change.data())));
        }
    }
}
