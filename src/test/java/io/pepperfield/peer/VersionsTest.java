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
 * What the version in production writes and says, kept as it did: this one must understand it, and
 * write and say the same, as the old version is there beside it while controllers are replaced one
 * by one.
 */
class VersionsTest {

    @Test
    void bothUnderstandEachOther() throws IOException {
        ReplayTrace.check("production-version.txt", VersionsTest::play);
    }

    /** What is understood of it, and whether it would be written in the same way now. */
    private static List<String> play(String[] words) {
        String text = Arrays.stream(words).skip(1).collect(Collectors.joining(" "));
        JsonNode said = Json.read(text.getBytes(StandardCharsets.UTF_8));
        return switch (words[0]) {
            case "job" -> {
                var job = JobCodec.decodeSpec("run-000001", said);
                yield told(
                        job.tasks() + " tasks, needs " + job.dependencies(),
                        JobCodec.encodeSpec(job),
                        text);
            }
            case "end" ->
                    told(
                            JobCodec.decodeFinalStatus(said).wireName(),
                            JobCodec.encodeFinalStatus(
                                    Status.valueOf(JobCodec.decodeFinalStatus(said).name())),
                            text);
            case "end-now" -> {
                OptionalLong doneMs = JobCodec.decodeDoneMs(said);
                List<String> lines =
                        new ArrayList<>(
                                told(
                                        JobCodec.decodeFinalStatus(said).wireName()
                                                + " at "
                                                + (doneMs.isPresent()
                                                        ? doneMs.getAsLong()
                                                        : "an unknown time"),
                                        doneMs.isPresent()
                                                ? JobCodec.encodeDone(doneMs.getAsLong())
                                                : JobCodec.encodeFinalStatus(Status.DONE),
                                        text));
                lines.add("the recorded version reads " + endAsRecorded(said).wireName());
                yield lines;
            }
            case "run" ->
                    told(
                            TaskState.decode(said).stream()
                                    .map(line -> line.task() + " " + line.phase())
                                    .toList()
                                    .toString(),
                            TaskState.encode(TaskState.decode(said)),
                            text);
            case "shared" -> shared(said, text);
            case "hire" -> hire(said);
            case "types" -> machineTypes(said, text);
            case "leader" -> leader(said);
            case "relay" -> batch(said);
            case "answer" -> batchReply(said, text);
            case "orders" -> directOrders(said, text);
            case "cancelled" -> cancelledJobs(said, text);
            default -> throw new IllegalArgumentException(words[0]);
        };
    }

    private static List<String> machineTypes(JsonNode said, String text) {
        List<MachineType> types = MachineTypesCodec.decode(said);
        return told(
                types.stream().map(type -> type.name() + " " + type.zones()).toList().toString(),
                MachineTypesCodec.encode(types),
                text);
    }

    private static List<String> batch(JsonNode said) {
        PeerMessages.HeartbeatBatch batch = PeerMessages.readBatch(said).orElseThrow();
        return List.of(
                batch.sender()
                        + " "
                        + batch.heartbeats().size()
                        + " reports, "
                        + batch.cachedHeartbeats().size()
                        + " kept");
    }

    private static List<String> batchReply(JsonNode said, String text) {
        PeerMessages.HeartbeatBatchReply reply = PeerMessages.readBatchReply(said, 3).orElseThrow();
        return told(
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
                text);
    }

    private static List<String> directOrders(JsonNode said, String text) {
        List<PeerMessages.DirectOrderMessage> orders = PeerMessages.readDirectOrders(said);
        FencingToken token = new FencingToken(said.path("epoch").longValue());
        return told(
                orders.size() + " messages",
                Json.read(PeerMessages.writeDirectOrders(token, orders)),
                text);
    }

    private static List<String> cancelledJobs(JsonNode said, String text) {
        List<String> jobs = PeerMessages.readCancelledJobs(said);
        return told(jobs.toString(), Json.read(PeerMessages.writeCancelledJobs(jobs)), text);
    }

    /** As the catalog reads it, and as its jobs' lines are written again. */
    private static List<String> shared(JsonNode said, String text) {
        JobIndex catalog = new JobIndex(() -> 0);
        ObjectNode again = Json.object();
        List<String> read = new ArrayList<>();
        said.fieldNames()
                .forEachRemaining(
                        id -> {
                            catalog.changed(Keys.JOB_PREFIX + id, Json.object().put("n", 4));
                            catalog.changed(Keys.SHARED_RUN_RECORD_PREFIX + "41-1", said);
                            List<TaskState> lines = List.copyOf(catalog.get(id).taskStates());
                            again.set(id, TaskState.encode(lines));
                            lines.forEach(
                                    line -> read.add(id + "/" + line.task() + " " + line.phase()));
                        });
        return told(read.toString(), again, text);
    }

    /**
     * An earlier leader's rental: asked for once more by its name, or its machines are expected.
     */
    private static List<String> hire(JsonNode said) {
        List<String> read = new ArrayList<>();
        RecordingKeyValueStore state = new RecordingKeyValueStore();
        Fleet fleet = new Fleet(null, new FencingToken(42), 1);
        CloudProvider cloud = new AskedCloud(read);
        InstanceLifecycle renting =
                new InstanceLifecycle(
                        state, cloud, null, fleet, new FencingToken(42), 1, 1, () -> true);
        renting.restore("p41-1", said);
        fleet.machines().forEach(m -> read.add("expects " + m.name + " " + m.type()));
        return read;
    }

    /** Notes which rentals it is asked for, and answers nothing. */
    private record AskedCloud(List<String> asked) implements CloudProvider {
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
            asked.add(
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

    /** Leads under the key that it wrote itself, and follows under another's. */
    private static List<String> leader(JsonNode said) {
        RecordingKeyValueStore state = new RecordingKeyValueStore();
        Leadership leadership = new Leadership(state, state, "worker-9", 1, null);
        leadership.leaderKeyChanged(said, 41);
        return List.of(
                "led by "
                        + leadership.leaderNode()
                        + " with token "
                        + leadership.highestFencingToken());
    }

    /** As {@code JobMessages.end} of the recorded version c7a624d; nothing else reads the value. */
    private static Status endAsRecorded(JsonNode durable) {
        return durable.path("s").asText().equals(Status.DONE.wireName())
                ? Status.DONE
                : Status.CANCELLED;
    }

    private static List<String> told(String what, JsonNode now, String then) {
        return List.of(
                what
                        + (new String(Json.write(now), StandardCharsets.UTF_8).equals(then)
                                ? ", written alike"
                                : ", now " + now));
    }
}
