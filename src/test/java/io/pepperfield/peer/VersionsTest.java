package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.cloud.Cloud;
import io.pepperfield.cloud.Renting;
import io.pepperfield.cloud.TypesRecord;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.Catalog;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.jobs.Status;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.standin.Trace;
import io.pepperfield.standin.Transactions;
import io.pepperfield.store.Keys;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
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
        Trace.check("production-version.txt", VersionsTest::play);
    }

    /** What is understood of it, and whether it would be written in the same way now. */
    private static List<String> play(String[] words) {
        String text = Arrays.stream(words).skip(1).collect(Collectors.joining(" "));
        JsonNode said = Json.read(text.getBytes(StandardCharsets.UTF_8));
        return switch (words[0]) {
            case "job" -> {
                var job = JobMessages.fromDurable("run-000001", said);
                yield told(
                        job.tasks() + " tasks, needs " + job.awaits(),
                        JobMessages.durable(job),
                        text);
            }
            case "end" ->
                    told(
                            JobMessages.end(said).word(),
                            JobMessages.durableEnd(Status.valueOf(JobMessages.end(said).name())),
                            text);
            case "end-now" -> {
                OptionalLong doneMs = JobMessages.doneMs(said);
                List<String> lines =
                        new ArrayList<>(
                                told(
                                        JobMessages.end(said).word()
                                                + " at "
                                                + (doneMs.isPresent()
                                                        ? doneMs.getAsLong()
                                                        : "an unknown time"),
                                        doneMs.isPresent()
                                                ? JobMessages.durableDone(doneMs.getAsLong())
                                                : JobMessages.durableEnd(Status.DONE),
                                        text));
                lines.add("the recorded version reads " + endAsRecorded(said).word());
                yield lines;
            }
            case "run" ->
                    told(
                            RunRecord.read(said).stream()
                                    .map(line -> line.task() + " " + line.state())
                                    .toList()
                                    .toString(),
                            RunRecord.write(RunRecord.read(said)),
                            text);
            case "shared" -> shared(said, text);
            case "hire" -> hire(said);
            case "types" -> {
                List<MachineType> types = TypesRecord.read(said);
                yield told(
                        types.stream()
                                .map(type -> type.name() + " " + type.zones())
                                .toList()
                                .toString(),
                        TypesRecord.write(types),
                        text);
            }
            case "leader" -> leader(said);
            case "relay" -> {
                ForwardingMessages.Batch batch = ForwardingMessages.batch(said);
                yield List.of(
                        batch.node()
                                + " "
                                + batch.beats().size()
                                + " reports, "
                                + batch.kept().size()
                                + " kept");
            }
            case "answer" -> {
                ForwardingMessages.Answer answer = ForwardingMessages.readAnswer(said, 3);
                yield told(
                        answer.token()
                                + " "
                                + answer.live()
                                + " "
                                + answer.verdicts().size()
                                + " verdicts",
                        Json.read(
                                ForwardingMessages.answer(
                                        answer.token(),
                                        answer.contactAgoS(),
                                        answer.live(),
                                        answer.verdicts())),
                        text);
            }
            case "orders" ->
                    told(
                            ForwardingMessages.readDirect(said).size() + " messages",
                            Json.read(
                                    ForwardingMessages.direct(
                                            said.path("epoch").longValue(),
                                            ForwardingMessages.readDirect(said))),
                            text);
            case "cancelled" ->
                    told(
                            ForwardingMessages.readCancelled(said).toString(),
                            Json.read(
                                    ForwardingMessages.cancelled(
                                            ForwardingMessages.readCancelled(said))),
                            text);
            default -> throw new IllegalArgumentException(words[0]);
        };
    }

    /** As the catalog reads it, and as its jobs' lines are written again. */
    private static List<String> shared(JsonNode said, String text) {
        Catalog catalog = new Catalog(() -> 0);
        ObjectNode again = Json.object();
        List<String> read = new ArrayList<>();
        said.fieldNames()
                .forEachRemaining(
                        id -> {
                            catalog.changed(Keys.JOB + id, Json.object().put("n", 4));
                            catalog.changed(Keys.SHARED + "41-1", said);
                            List<RunRecord> lines = List.copyOf(catalog.get(id).lines());
                            again.set(id, RunRecord.write(lines));
                            lines.forEach(
                                    line -> read.add(id + "/" + line.task() + " " + line.state()));
                        });
        return told(read.toString(), again, text);
    }

    /**
     * An earlier leader's rental: asked for once more by its name, or its machines are expected.
     */
    private static List<String> hire(JsonNode said) {
        List<String> read = new ArrayList<>();
        Transactions state = new Transactions();
        Fleet fleet = new Fleet(null, 42, 1);
        Cloud cloud = new AskedCloud(read);
        Renting renting = new Renting(state, cloud, null, fleet, 42, 1, 1, () -> true);
        renting.restore("p41-1", said);
        fleet.machines().forEach(m -> read.add("expects " + m.name + " " + m.type()));
        return read;
    }

    /** Notes which rentals it is asked for, and answers nothing. */
    private record AskedCloud(List<String> asked) implements Cloud {
        @Override
        public void types(Consumer<List<MachineType>> done) {}

        @Override
        public void rent(
                String request,
                String type,
                String zone,
                boolean spot,
                int count,
                Consumer<Rented> done) {
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
        public void release(List<String> names, Consumer<Boolean> done) {}

        @Override
        public void list(Consumer<List<Listed>> done) {}
    }

    /** Leads under the key that it wrote itself, and follows under another's. */
    private static List<String> leader(JsonNode said) {
        Transactions state = new Transactions();
        Leadership leadership = new Leadership(state, state, "worker-9", 1, null);
        leadership.leaderKey(said, 41);
        return List.of("led by " + leadership.leader() + " with token " + leadership.leaderToken());
    }

    /** As {@code JobMessages.end} of the recorded version c7a624d; nothing else reads the value. */
    private static Status endAsRecorded(JsonNode durable) {
        return durable.path("s").asText().equals(Status.DONE.word())
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
