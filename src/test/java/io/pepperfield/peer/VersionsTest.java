package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.jobs.Status;
import io.pepperfield.standin.Trace;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
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
            case "run" ->
                    told(
                            RunRecord.read(said).stream()
                                    .map(line -> line.task() + " " + line.state())
                                    .toList()
                                    .toString(),
                            RunRecord.write(RunRecord.read(said)),
                            text);
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

    private static List<String> told(String what, JsonNode now, String then) {
        return List.of(
                what
                        + (new String(Json.write(now), StandardCharsets.UTF_8).equals(then)
                                ? ", written alike"
                                : ", now " + now));
    }
}
