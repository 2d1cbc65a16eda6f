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

/** What a node knows of jobs that need others, as the news of the state service reach it. */
class JobDependenciesTest {

    private final JobIndex catalog = new JobIndex(() -> 0);

    private static String id(int number) {
        return JobMessages.isValidId("run-" + number)
                ? "run-" + number
                : String.format(Locale.ROOT, "run-%06d", number);
    }

    private void accepted(int number, int... needed) {
        ObjectNode job = Json.object().put("n", 1).put("k", 10);
        for (int other : needed) {
            job.withArray("aw").add(id(other));
        }
        catalog.applyChange(Keys.JOB_PREFIX + id(number), job);
    }

    private void ended(int number, Status status) {
        catalog.applyChange(Keys.FINAL_STATE_PREFIX + id(number), JobCodec.encodeFinalStatus(status));
    }

    private Status end(int number) {
        return catalog.get(id(number)).finalStatus();
    }

    @Test
    void aJobIsReadyOnceAllThatItNeedsIsDone() {
        accepted(1);
        accepted(2);
        accepted(3, 1, 2);
        assertEquals(List.of(id(1), id(2)), catalog.get(id(3)).unfinishedDependencies());
        assertEquals("pending", catalog.get(id(3)).statusAnswer().path("status").asText());
        assertEquals(2, catalog.get(id(3)).statusAnswer().path("waitsFor").size());
        catalog.drainAffectedJobs();
        ended(1, Status.DONE);
        assertFalse(catalog.get(id(3)).ready());
        ended(2, Status.DONE);
        assertTrue(catalog.get(id(3)).ready());
        assertEquals(List.of(id(3)), catalog.drainAffectedJobs());
        // Submitted when all that it needs is over.
        accepted(4, 1, 3);
        assertEquals(List.of(id(3)), catalog.get(id(4)).unfinishedDependencies());
    }

    @Test
    void aCancellationFlowsDownADiamondAndReachesWhoComesAfterwards() {
        accepted(1);
        accepted(2, 1);
        accepted(3, 1);
        accepted(4, 2, 3);
        accepted(5);
        ended(5, Status.DONE);
        ended(2, Status.CANCELLED);
        assertEquals(Status.CANCELLED, end(4));
        assertNull(end(3));
        assertEquals("cancelled", catalog.get(id(4)).statusAnswer().path("status").asText());
        accepted(6, 5, 4);
        assertEquals(Status.CANCELLED, end(6));
        // Its own cancellation, asked for meanwhile, says the same.
        ended(4, Status.CANCELLED);
        assertEquals(Status.CANCELLED, end(4));
        // Done before the one after it was cancelled: what needs the former goes on.
        ended(3, Status.DONE);
        accepted(7, 3);
        assertNull(end(7));
        assertTrue(catalog.get(id(7)).ready());
    }

    @Test
    void aReadingMayBringThemInAnyOrder() {
        ended(1, Status.CANCELLED);
        ended(2, Status.DONE);
        // Keys in their order: what needs others before these.
        accepted(0, 1);
        accepted(3, 2);
        assertNull(end(0));
        accepted(1);
        assertEquals(Status.CANCELLED, end(0));
        // Not ready before the job itself is known, whose end came first.
        accepted(2);
        assertTrue(catalog.get(id(3)).ready());
    }

    @Test
    void longChainsAreWalkedWithoutRecursion() {
        accepted(0);
        for (int i = 1; i < 20_000; i++) {
            accepted(i, i - 1);
        }
        ended(0, Status.CANCELLED);
        assertEquals(Status.CANCELLED, end(19_999));
    }

    @Test
    void aDescriptionOfTheVersionBeforeNeedsNothingAndTheFieldIsKept() {
        JobSpec old =
                JobCodec.decodeSpec(
                        id(1),
                        Json.read(
                                "{\"w\":\"w\",\"o\":\"t\",\"s\":0,\"r\":2,\"n\":3,\"c\":1.0,\"k\":68}"
                                        .getBytes(StandardCharsets.UTF_8)));
        assertEquals(List.of(), old.dependencies());
        assertFalse(JobCodec.encodeSpec(old).has("aw"));
        accepted(1);
        accepted(2, 1);
        JobSpec spec = catalog.get(id(2)).spec();
        assertEquals(
                List.of(id(1)),
                JobCodec.decodeSpec(id(2), JobCodec.encodeSpec(spec)).dependencies());
    }

    private void done(int number, long atMs) {
        catalog.applyChange(Keys.FINAL_STATE_PREFIX + id(number), JobCodec.encodeDone(atMs));
    }

    private OptionalLong readyMs(int number) {
        return catalog.get(id(number)).readyMs();
    }

    @Test
    void itsTimesCountFromTheEndOfTheLastJobThatItNeeds() {
        accepted(1);
        accepted(2);
        accepted(3, 1, 2);
        done(2, 9_000);
        done(1, 7_000);
        assertEquals(OptionalLong.of(9_000), readyMs(3));
        // Submitted when these are over: from its submission, where that is later.
        accepted(4, 1, 2);
        assertEquals(OptionalLong.of(9_000), readyMs(4));
        catalog.applyChange(
                Keys.JOB_PREFIX + id(5),
                Json.object().put("at", 11_000).set("aw", Json.array().add(id(1))));
        assertEquals(OptionalLong.of(11_000), readyMs(5));
        // An end by the version before does not say when.
        accepted(6);
        accepted(7, 1, 6);
        ended(6, Status.DONE);
        assertEquals(OptionalLong.empty(), readyMs(7));
        // A reading brings ends before jobs.
        done(8, 12_000);
        accepted(9, 8);
        accepted(8);
        assertEquals(OptionalLong.of(12_000), readyMs(9));
    }

    @Test
    void manyJobsThatNeedManyCostAReferenceEachAndAShortAnswer() {
        int[] many = IntStream.range(0, 500).toArray();
        // A reading may bring some of them only afterwards.
        for (int number = 0; number < 250; number++) {
            accepted(number);
        }
        accepted(1000, many);
        for (int number = 250; number < 500; number++) {
            accepted(number);
        }
        JobRecord record = catalog.get(id(1000));
        for (int number : many) {
            // The same object, not an equal one.
            assertSame(
                    catalog.get(id(number)).spec().id(), record.spec().dependencies().get(number));
        }
        assertTrue(
                Json.write(record.statusAnswer()).length < 500, record.statusAnswer().toString());
        assertEquals(id(0), record.statusAnswer().path("waitsFor").path(0).asText());
        assertEquals(484, record.statusAnswer().path("waitsForMore").asInt());
        for (int number : many) {
            ended(number, Status.DONE);
        }
        assertTrue(record.ready());
        assertFalse(record.statusAnswer().has("waitsFor"));
    }
}
