package io.pepperfield.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against invalid submissions being accepted as jobs. */
class JobMessagesTest {

    private static final String VALID =
            "{\"nameId\":\"run-000412\",\"workload\":\"train\",\"owner\":\"vision\",\"shape\":\"sweep\",\"rank\":\"urgent\","
                    + "\"shards\":16,\"vcpus\":8.0,\"accelerators\":1.0,\"memGb\":64.0,\"bundle\":\"img-07\",\"pullGb\":6.2,\"flavours\":[\"g8\"],"
                    + "\"site\":null,\"together\":true,\"spread\":false,\"reclaimable\":true,\"expectedS\":240.0,\"snapshotEveryS\":30.0,"
                    + "\"snapshotS\":4.0,\"dueS\":900.0}";

    private static JobSpec decode(String body) throws JobMessages.InvalidSubmissionException {
        return JobMessages.decodeSubmission(
                Json.read(body.getBytes(StandardCharsets.UTF_8)), 0, 64);
    }

    @Test
    void anAcceptedJobIsDecodedUnchangedFromItsStoredForm()
            throws JobMessages.InvalidSubmissionException {
        JobSpec job = decode(VALID.replace("img-07", "b\u00fcndel \ud83d\ude00 \\\\\\\""));
        JsonNode stored = Json.read(Json.write(JobCodec.encodeSpec(job)));
        assertEquals(job, JobCodec.decodeSpec("run-000412", stored));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "nameId",
                "workload",
                "owner",
                "shape",
                "rank",
                "shards",
                "vcpus",
                "accelerators",
                "memGb",
                "bundle",
                "pullGb",
                "together",
                "spread",
                "reclaimable",
                "expectedS",
                "snapshotEveryS",
                "snapshotS"
            })
    void aMissingOrNullFieldIsRejected(String field) {
        assertThrows(
                JobMessages.InvalidSubmissionException.class,
                () -> decode(VALID.replace("\"" + field + "\":", "\"x" + field + "\":")));
        assertThrows(
                JobMessages.InvalidSubmissionException.class,
                () ->
                        decode(
                                VALID.replace(
                                        "\"" + field + "\":",
                                        "\"" + field + "\":null,\"x" + field + "\":")));
    }

    /**
     * The last two values contain an unpaired surrogate, which cannot be encoded: the state service
     * may reject it together with the rest of the transaction.
     */
    @ParameterizedTest
    @CsvSource(
            quoteCharacter = '\'',
            value = {
                "16, 0",
                "16, -1",
                "16, 100001",
                "16, 16.5",
                "16, 1e400",
                "16, 18446744073709551617",
                "16, '\"16\"'",
                "16, true",
                "8.0, 0",
                "8.0, -1.0",
                "8.0, NaN",
                "8.0, 1e400",
                "8.0, '\"8\"'",
                "64.0, -0.5",
                "64.0, Infinity",
                "900.0, -1",
                "900.0, '\"soon\"'",
                "'\"sweep\"', '\"array\"'",
                "'\"sweep\"', 3",
                "'\"urgent\"', '\"URGENT\"'",
                "'\"train\"', 7",
                "'\"train\"', '\" \"'",
                "'[\"g8\"]', '\"g8\"'",
                "'[\"g8\"]', '[8]'",
                "'\"site\":null', '\"site\":4'",
                "true, '\"true\"'",
                "true, 1",
                "run-000412, run-../..",
                "run-000412, RUN-000412",
                "run-000412, run-12",
                "run-000412, run-1234567890123456",
                "'\"shards\":16', '\"shards\":16,\"shards\":17'",
                "'900.0}', '900.0}}'",
                "'900.0}', '900.0'",
                "'{\"nameId\"', '[{\"nameId\"'",
                "img-07, 'i\\ud83d'",
                "g8, 'g\\ude008'"
            })
    void anInvalidValueIsRejected(String from, String to) {
        assertThrows(
                JobMessages.InvalidSubmissionException.class,
                () -> decode(VALID.replace(from, to)));
    }

    private static String withDependencies(String awaits) {
        return VALID.replace("\"dueS\":900.0", "\"dueS\":900.0,\"awaits\":" + awaits);
    }

    @Test
    void dependenciesAreAnArrayOfJobIdsWithoutDuplicates()
            throws JobMessages.InvalidSubmissionException {
        JobSpec job = decode(withDependencies("[\"run-000398\",\"run-000405\",\"run-000398\"]"));
        assertEquals(List.of("run-000398", "run-000405"), job.dependencies());
        assertEquals(
                job,
                JobCodec.decodeSpec("run-000412", Json.read(Json.write(JobCodec.encodeSpec(job)))));
        for (String absent : List.of("[]", "null")) {
            assertEquals(List.of(), decode(withDependencies(absent)).dependencies());
        }
        for (String invalid :
                List.of(
                        "\"run-000398\"",
                        "{}",
                        "{\"a\":\"run-000398\"}",
                        "7",
                        "true",
                        "[7]",
                        "[null]",
                        "[\"run-1\"]",
                        "[\"\"]",
                        "[[]]")) {
            assertThrows(
                    JobMessages.InvalidSubmissionException.class,
                    () -> decode(withDependencies(invalid)),
                    invalid);
        }
    }

    @Test
    void excessivelyNestedOrLongValuesAreRejected() {
        assertThrows(
                JobMessages.InvalidSubmissionException.class,
                () -> decode("{\"nameId\":" + "[".repeat(30_000) + "]".repeat(30_000) + "}"));
        assertThrows(
                JobMessages.InvalidSubmissionException.class,
                () -> decode(VALID.replace("16", "1".repeat(30_000))));
    }
}
