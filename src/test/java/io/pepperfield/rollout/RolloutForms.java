package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.forms.GoldenFile;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.jobs.TaskState.Phase;
import io.pepperfield.standin.NoOpKeyValueStore;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import io.pepperfield.store.Keys;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;

/** The stored records of the rollout and the records of stored-state version 2. */
public final class RolloutForms {

    private static final ClusterVersion ACTIVE = ClusterVersion.INITIAL.activated(2, List.of("a"));

    private RolloutForms() {}

    /** Adds the records to the file. */
    public static void write(GoldenFile file) {
        file.add("path", Rollout.PATH);
        file.add("this release", new MemberRelease(Release.CURRENT, "a-process", 9).toJson());
        for (ClusterVersion version :
                List.of(
                        ClusterVersion.INITIAL,
                        ACTIVE,
                        ACTIVE.asFinalized(),
                        ACTIVE.rollingBack(),
                        ACTIVE.rolledBack())) {
            file.add("phase", version.phase().name());
            file.addRoundTrip("version", version.toJson(), RolloutForms::rewriteVersion);
        }
        file.addWithFieldMutations("version", ACTIVE.toJson(), RolloutForms::rewriteVersion);
        MemberRelease member = new MemberRelease(new Release("9.1.0", 1, 3, 2), "a-process", 9);
        file.addRoundTripWithFieldMutations("member", member.toJson(), RolloutForms::rewriteMember);
        file.add("fence", VersionedKeyValueStore.fenceValue());
        String key = Keys.runRecord("run-000412", 3);
        file.add("key of a compact run record", VersionedKeyValueStore.compactKey(key));
        file.add(
                "and back",
                VersionedKeyValueStore.versionOneKey(VersionedKeyValueStore.compactKey(key)));
        JsonNode versionOneRecord = TaskState.encode(taskStates());
        file.add("run record", versionOneRecord);
        file.addRoundTrip(
                "compact run record",
                CompactRunRecordCodec.encode(versionOneRecord),
                json -> text(CompactRunRecordCodec.encode(CompactRunRecordCodec.decode(json))));
        file.addWithFieldMutations(
                "compact run record decoded",
                CompactRunRecordCodec.encode(versionOneRecord),
                json -> text(CompactRunRecordCodec.decode(json)));
        writeTransactions(file);
        file.add("done", new RolloutResult.Completed("version 2 is active").toReply());
        file.add("refused", new RolloutResult.Refused("a rollback is under way").toReply());
        file.add("to be repeated", new RolloutResult.RetryLater("not the leader").toReply());
    }

    private static List<TaskState> taskStates() {
        return List.of(
                new TaskState(0, 1, Phase.DONE, "", 0),
                new TaskState(1, 1, Phase.DONE, "", 0),
                new TaskState(2, 2, Phase.DONE, "", 0),
                new TaskState(3, 1, Phase.LIVE, "host-000012", 4),
                new TaskState(4, 1, Phase.LIVE, "host-000012", 4),
                new TaskState(5, 1, Phase.LIVE, "host-000013", 1),
                new TaskState(6, 1, Phase.GONE, "", 0),
                new TaskState(8, 3, Phase.FAILED, "", 0));
    }

    private static String rewriteVersion(JsonNode json) {
        ClusterVersion version = ClusterVersion.fromJson(json).orElse(null);
        return version == null ? null : text(version.toJson());
    }

    private static String rewriteMember(JsonNode json) {
        MemberRelease member = MemberRelease.fromJson(json, 9).orElse(null);
        return member == null ? null : text(member.toJson());
    }

    /** Adds the transactions that reach the state service in each version. */
    private static void writeTransactions(GoldenFile file) {
        KeyValueStore store = new RecordingKeyValueStore(file);
        for (ClusterVersion version : List.of(ClusterVersion.INITIAL, ACTIVE)) {
            VersionGate gate = new VersionGate(Release.CURRENT);
            gate.onVersionChanged(version.toJson(), 17);
            gate.markReplicaLoaded();
            new VersionedKeyValueStore(store, gate)
                    .compareAndSwap(
                            RequestPriority.LEADER_WRITE,
                            List.of(
                                    new Precondition(Keys.LEADER, 41),
                                    new Precondition(Keys.runRecord("run-000412", 0), 0)),
                            List.of(
                                    Mutation.set(
                                            Keys.runRecord("run-000412", 0),
                                            TaskState.encode(taskStates())),
                                    Mutation.set(
                                            Keys.SHARED_RUN_RECORD_PREFIX + "41-1", Json.object()),
                                    Mutation.delete(Keys.MACHINE_TYPES)),
                            result -> {});
        }
    }

    private static String text(JsonNode json) {
        return new String(Json.write(json), StandardCharsets.UTF_8);
    }

    /** Adds each transaction that it receives to the file. */
    private record RecordingKeyValueStore(GoldenFile file) implements NoOpKeyValueStore {
        @Override
        public void compareAndSwap(
                RequestPriority priority,
                List<Precondition> preconditions,
                List<Mutation> mutations,
                Consumer<CompareAndSwapOutcome> done) {
            preconditions.forEach(
                    precondition ->
                            file.add(
                                    "guard " + precondition.key(),
                                    "at " + precondition.modRevision()));
            mutations.forEach(
                    mutation ->
                            file.add("change " + mutation.key(), String.valueOf(mutation.value())));
        }
    }
}
