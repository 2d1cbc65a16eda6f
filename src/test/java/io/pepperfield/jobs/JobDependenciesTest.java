package io.pepperfield.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.store.Keys;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * State of jobs with dependencies in the job index, as changes of the state service are applied.
 */
class JobDependenciesTest {

    private final JobIndex jobIndex = new JobIndex(() -> 0);

    private static String id(int number) {
        return JobMessages.isValidId("run-" + number)
                ? "run-" + number
                : String.format(Locale.ROOT, "run-%06d", number);
    }

    private void accept(int number, int... dependencies) {
        ObjectNode job = Json.object().put("n", 1).put("k", 10);
        for (int dependency : dependencies) {
            job.withArray("aw").add(id(dependency));
        }
        jobIndex.applyChange(Keys.JOB_PREFIX + id(number), job);
    }

    private void end(int number, Status status) {
        jobIndex.applyChange(
                Keys.FINAL_STATE_PREFIX + id(number), JobCodec.encodeFinalStatus(status));
    }

    private Status finalStatus(int number) {
        return jobIndex.get(id(number)).finalStatus();
    }

    @Test
    void aJobIsReadyOnceAllItsDependenciesAreDone() {
        accept(1);
        accept(2);
        accept(3, 1, 2);
        assertEquals(List.of(id(1), id(2)), jobIndex.get(id(3)).unfinishedDependencies());
        assertEquals("pending", jobIndex.get(id(3)).statusAnswer().path("status").asText());
        assertEquals(2, jobIndex.get(id(3)).statusAnswer().path("waitsFor").size());
        jobIndex.drainAffectedJobs();
        end(1, Status.DONE);
        assertFalse(jobIndex.get(id(3)).ready());
        end(2, Status.DONE);
        assertTrue(jobIndex.get(id(3)).ready());
        assertEquals(List.of(id(3)), jobIndex.drainAffectedJobs());
        // Submitted after one of its dependencies is done.
        accept(4, 1, 3);
        assertEquals(List.of(id(3)), jobIndex.get(id(4)).unfinishedDependencies());
    }

    @Test
    void aCancellationReachesTransitiveDependentsAndThoseAddedLater() {
        accept(1);
        accept(2, 1);
        accept(3, 1);
        accept(4, 2, 3);
        accept(5);
        end(5, Status.DONE);
        end(2, Status.CANCELLED);
        assertEquals(Status.CANCELLED, finalStatus(4));
        assertNull(finalStatus(3));
        assertEquals("cancelled", jobIndex.get(id(4)).statusAnswer().path("status").asText());
        accept(6, 5, 4);
        assertEquals(Status.CANCELLED, finalStatus(6));
        // Its own cancellation, requested in the meantime, changes nothing.
        end(4, Status.CANCELLED);
        assertEquals(Status.CANCELLED, finalStatus(4));
        // A dependent of a done job is not affected by the cancellation of another dependent.
        end(3, Status.DONE);
        accept(7, 3);
        assertNull(finalStatus(7));
        assertTrue(jobIndex.get(id(7)).ready());
    }

    @Test
    void jobsAndFinalStatesMayBeReadInAnyOrder() {
        end(1, Status.CANCELLED);
        end(2, Status.DONE);
        // In key order, dependents may come before their dependencies.
        accept(0, 1);
        accept(3, 2);
        assertNull(finalStatus(0));
        accept(1);
        assertEquals(Status.CANCELLED, finalStatus(0));
        // Ready only once the dependency itself is read, whose final state came first.
        accept(2);
        assertTrue(jobIndex.get(id(3)).ready());
    }

    @Test
    void aCancellationOfALongChainDoesNotOverflowTheStack() {
        accept(0);
        for (int i = 1; i < 20_000; i++) {
            accept(i, i - 1);
        }
        end(0, Status.CANCELLED);
        assertEquals(Status.CANCELLED, finalStatus(19_999));
    }

    @Test
    void aSpecOfAnOlderVersionHasNoDependenciesAndTheFieldSurvivesEncoding() {
        JobSpec old =
                JobCodec.decodeSpec(
                        id(1),
                        Json.read(
                                "{\"w\":\"w\",\"o\":\"t\",\"s\":0,\"r\":2,\"n\":3,\"c\":1.0,\"k\":68}"
                                        .getBytes(StandardCharsets.UTF_8)));
        assertEquals(List.of(), old.dependencies());
        assertFalse(JobCodec.encodeSpec(old).has("aw"));
        accept(1);
        accept(2, 1);
        JobSpec spec = jobIndex.get(id(2)).spec();
        assertEquals(
                List.of(id(1)),
                JobCodec.decodeSpec(id(2), JobCodec.encodeSpec(spec)).dependencies());
    }

    private void markDone(int number, long atMs) {
        jobIndex.applyChange(Keys.FINAL_STATE_PREFIX + id(number), JobCodec.encodeDone(atMs));
    }

    private OptionalLong readyMs(int number) {
        return jobIndex.get(id(number)).readyMs();
    }

    @Test
    void readyTimeIsTheLaterOfSubmissionAndLastCompletedDependency() {
        accept(1);
        accept(2);
        accept(3, 1, 2);
        markDone(2, 9_000);
        markDone(1, 7_000);
        assertEquals(OptionalLong.of(9_000), readyMs(3));
        // Submitted after its dependencies are done: the submission counts if it is later.
        accept(4, 1, 2);
        assertEquals(OptionalLong.of(9_000), readyMs(4));
        jobIndex.applyChange(
                Keys.JOB_PREFIX + id(5),
                Json.object().put("at", 11_000).set("aw", Json.array().add(id(1))));
        assertEquals(OptionalLong.of(11_000), readyMs(5));
        // A final state written by an older version does not contain the time.
        accept(6);
        accept(7, 1, 6);
        end(6, Status.DONE);
        assertEquals(OptionalLong.empty(), readyMs(7));
        // A paged read returns final states before jobs.
        markDone(8, 12_000);
        accept(9, 8);
        accept(8);
        assertEquals(OptionalLong.of(12_000), readyMs(9));
    }

    @Test
    void manyDependenciesShareTheirIdsAndAreTruncatedInTheStatusReply() {
        int[] many = IntStream.range(0, 500).toArray();
        // A paged read may return some of the dependencies after the dependent.
        for (int number = 0; number < 250; number++) {
            accept(number);
        }
        accept(1000, many);
        for (int number = 250; number < 500; number++) {
            accept(number);
        }
        JobRecord record = jobIndex.get(id(1000));
        for (int number : many) {
            // The same instance, not only an equal string.
            assertSame(
                    jobIndex.get(id(number)).spec().id(), record.spec().dependencies().get(number));
        }
        assertTrue(
                Json.write(record.statusAnswer()).length < 500, record.statusAnswer().toString());
        assertEquals(id(0), record.statusAnswer().path("waitsFor").path(0).asText());
        assertEquals(484, record.statusAnswer().path("waitsForMore").asInt());
        for (int number : many) {
            end(number, Status.DONE);
        }
        assertTrue(record.ready());
        assertFalse(record.statusAnswer().has("waitsFor"));
    }
}
