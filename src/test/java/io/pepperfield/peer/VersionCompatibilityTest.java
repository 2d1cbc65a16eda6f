package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.cloud.InstanceLifecycle;
import io.pepperfield.cloud.MachineTypesCodec;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobCodec;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.Status;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.standin.RecordingKeyValueStore;
import io.pepperfield.standin.ReplayTrace;
import io.pepperfield.store.Keys;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/**
 * Compatibility with recorded stored values and messages of the version in production. During a
 * rolling update both versions run side by side, so this version must read the recorded forms, and
 * write the same forms itself.
 */
class VersionCompatibilityTest {

    @Test
    void recordedFormsAreReadAndWrittenUnchanged() throws IOException {
        ReplayTrace.check("production-version.txt", VersionCompatibilityTest::replay);
    }

    /** Describes what is read from a recorded form, and whether this version writes it alike. */
    private static List<String> replay(String[] event) {
        String recordedText = Arrays.stream(event).skip(1).collect(Collectors.joining(" "));
        JsonNode recorded = Json.read(recordedText.getBytes(StandardCharsets.UTF_8));
        return switch (event[0]) {
            case "job" -> {
                var job = JobCodec.decodeSpec("run-000001", recorded);
                yield compare(
                        job.tasks() + " tasks, needs " + job.dependencies(),
                        JobCodec.encodeSpec(job),
                        recordedText);
            }
            case "end" ->
                    compare(
                            JobCodec.decodeFinalStatus(recorded).wireName(),
                            JobCodec.encodeFinalStatus(
                                    Status.valueOf(JobCodec.decodeFinalStatus(recorded).name())),
                            recordedText);
            case "end-now" -> {
                OptionalLong doneMs = JobCodec.decodeDoneMs(recorded);
                List<String> results =
                        new ArrayList<>(
                                compare(
                                        JobCodec.decodeFinalStatus(recorded).wireName()
                                                + " at "
                                                + (doneMs.isPresent()
                                                        ? doneMs.getAsLong()
                                                        : "an unknown time"),
                                        doneMs.isPresent()
                                                ? JobCodec.encodeDone(doneMs.getAsLong())
                                                : JobCodec.encodeFinalStatus(Status.DONE),
                                        recordedText));
                results.add(
                        "the recorded version reads "
                                + decodeFinalStatusAsRecorded(recorded).wireName());
                yield results;
            }
            case "run" ->
                    compare(
                            TaskState.decode(recorded).stream()
                                    .map(taskState -> taskState.task() + " " + taskState.phase())
                                    .toList()
                                    .toString(),
                            TaskState.encode(TaskState.decode(recorded)),
                            recordedText);
            case "shared" -> sharedRunRecord(recorded, recordedText);
            case "hire" -> restoreRental(recorded);
            case "types" -> machineTypes(recorded, recordedText);
            case "leader" -> leaderKey(recorded);
            case "relay" -> batch(recorded);
            case "answer" -> batchReply(recorded, recordedText);
            case "orders" -> directOrders(recorded, recordedText);
            case "cancelled" -> cancelledJobs(recorded, recordedText);
            default -> throw new IllegalArgumentException(event[0]);
        };
    }

    private static List<String> machineTypes(JsonNode recorded, String recordedText) {
        List<MachineType> types = MachineTypesCodec.decode(recorded);
        return compare(
                types.stream().map(type -> type.name() + " " + type.zones()).toList().toString(),
                MachineTypesCodec.encode(types),
                recordedText);
    }

    private static List<String> batch(JsonNode recorded) {
        PeerMessages.HeartbeatBatch batch = PeerMessages.readBatch(recorded).orElseThrow();
        return List.of(
                batch.sender()
                        + " "
                        + batch.heartbeats().size()
                        + " reports, "
                        + batch.cachedHeartbeats().size()
                        + " kept");
    }

    private static List<String> batchReply(JsonNode recorded, String recordedText) {
        PeerMessages.HeartbeatBatchReply reply =
                PeerMessages.readBatchReply(recorded, 3).orElseThrow();
        return compare(
                reply.fencingToken()
                        + " "
                        + reply.partitionOwners()
                        + " "
                        + reply.verdicts().size()
                        + " verdicts",
                Json.read(
                        PeerMessages.writeBatchReply(
                                reply.fencingToken(),
                                reply.storeContactAgeS(),
                                reply.partitionOwners(),
                                reply.verdicts())),
                recordedText);
    }

    private static List<String> directOrders(JsonNode recorded, String recordedText) {
        List<PeerMessages.DirectOrderMessage> orders = PeerMessages.readDirectOrders(recorded);
        FencingToken token = new FencingToken(recorded.path("epoch").longValue());
        return compare(
                orders.size() + " messages",
                Json.read(PeerMessages.writeDirectOrders(token, orders)),
                recordedText);
    }

    private static List<String> cancelledJobs(JsonNode recorded, String recordedText) {
        List<String> jobs = PeerMessages.readCancelledJobs(recorded);
        return compare(
                jobs.toString(), Json.read(PeerMessages.writeCancelledJobs(jobs)), recordedText);
    }

    /** Reads a shared run record into the job index, and encodes its jobs' task states again. */
    private static List<String> sharedRunRecord(JsonNode recorded, String recordedText) {
        JobIndex jobIndex = new JobIndex(() -> 0);
        ObjectNode encoded = Json.object();
        List<String> read = new ArrayList<>();
        recorded.fieldNames()
                .forEachRemaining(
                        id -> {
                            jobIndex.applyChange(Keys.JOB_PREFIX + id, Json.object().put("n", 4));
                            jobIndex.applyChange(Keys.SHARED_RUN_RECORD_PREFIX + "41-1", recorded);
                            List<TaskState> taskStates = List.copyOf(jobIndex.get(id).taskStates());
                            encoded.set(id, TaskState.encode(taskStates));
                            taskStates.forEach(
                                    taskState ->
                                            read.add(
                                                    id
                                                            + "/"
                                                            + taskState.task()
                                                            + " "
                                                            + taskState.phase()));
                        });
        return compare(read.toString(), encoded, recordedText);
    }

    /**
     * Restores an earlier leader's rental: it is requested again under its name, or its machines
     * are expected.
     */
    private static List<String> restoreRental(JsonNode recorded) {
        List<String> read = new ArrayList<>();
        RecordingKeyValueStore store = new RecordingKeyValueStore();
        Fleet fleet = new Fleet(null, new FencingToken(42), 1);
        CloudProvider cloud = new RecordingCloud(read);
        InstanceLifecycle instanceLifecycle =
                new InstanceLifecycle(
                        store, cloud, null, fleet, new FencingToken(42), 1, 1, () -> true);
        instanceLifecycle.restore("p41-1", recorded);
        fleet.machines().forEach(m -> read.add("expects " + m.name + " " + m.type()));
        return read;
    }

    /** Records the rental requests without answering them. */
    private record RecordingCloud(List<String> requests) implements CloudProvider {
        @Override
        public void listMachineTypes(Consumer<Optional<List<MachineType>>> done) {}

        @Override
        public void rentInstances(
                String request,
                String type,
                String zone,
                boolean spot,
                int count,
                Consumer<RentalOutcome> done) {
            requests.add(
                    "asks for "
                            + request
                            + ": "
                            + count
                            + " "
                            + type
                            + " in "
                            + zone
                            + ", "
                            + spot);
        }

        @Override
        public void releaseInstances(List<String> names, Consumer<Boolean> done) {}

        @Override
        public void listInstances(Consumer<Optional<List<ListedInstance>>> done) {}
    }

    /** Reads the leader key as a controller that follows the leader named in it. */
    private static List<String> leaderKey(JsonNode recorded) {
        RecordingKeyValueStore store = new RecordingKeyValueStore();
        Leadership leadership = new Leadership(store, store, "worker-9", 1, null);
        leadership.leaderKeyChanged(recorded, 41);
        return List.of(
                "led by "
                        + leadership.leaderNode()
                        + " with token "
                        + leadership.highestFencingToken());
    }

    /**
     * Decodes the final status like {@code JobMessages.end} of the recorded version c7a624d, the
     * only reader of the value there.
     */
    private static Status decodeFinalStatusAsRecorded(JsonNode durable) {
        return durable.path("s").asText().equals(Status.DONE.wireName())
                ? Status.DONE
                : Status.CANCELLED;
    }

    private static List<String> compare(
            String description, JsonNode encodedNow, String recordedText) {
        return List.of(
                description
                        + (new String(Json.write(encodedNow), StandardCharsets.UTF_8)
                                        .equals(recordedText)
                                ? ", written alike"
                                : ", now " + encodedNow));
    }
}
