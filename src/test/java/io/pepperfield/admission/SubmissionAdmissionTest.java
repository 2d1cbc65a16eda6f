package io.pepperfield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.admission.Allotment.ClassShare;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.SubmissionPolicy.Decision;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.standin.SimulatedLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests the decisions of one controller with a fixed share of 60 per minute and allotments of up to
 * 600 more.
 */
class SubmissionAdmissionTest {

    private static final AdmissionLimits LIMITS =
            new AdmissionLimits(60, 600, 10, 1, Map.of("red", 1.0, "guests", 1.0), 60, 0.25);
    private static final WorkloadClass RED = new WorkloadClass("red", "batch", false);
    private static final WorkloadClass FLOOD = new WorkloadClass("guests", "flood", false);
    private static final FencingToken TOKEN = new FencingToken(7);

    private final SimulatedLoop loop = new SimulatedLoop();
    private double lastConfirmedAt;
    private SubmissionAdmission admission;
    private int nextId;

    @BeforeEach
    void setUp() {
        admission =
                new SubmissionAdmission(
                        loop, LIMITS, "a", () -> Math.max(lastConfirmedAt, loop.now() - 0.1), 2);
    }

    private Decision decide(WorkloadClass workloadClass, String id) {
        JobSpec job =
                new JobSpecBuilder()
                        .id(id)
                        .team(workloadClass.team())
                        .workload(workloadClass.workload())
                        .build();
        return admission.decide(job);
    }

    private boolean isAdmitted(WorkloadClass workloadClass) {
        return decide(workloadClass, "run-" + (100_000 + nextId++)) instanceof Decision.Admitted;
    }

    private int countAdmitted(WorkloadClass workloadClass, int submissions) {
        int admitted = 0;
        for (int i = 0; i < submissions; i++) {
            admitted += isAdmitted(workloadClass) ? 1 : 0;
        }
        return admitted;
    }

    private Allotment allotment(
            FencingToken token, long serial, int extra, int redShare, int floodShare) {
        SortedMap<WorkloadClass, ClassShare> classes = new TreeMap<>();
        classes.put(RED, new ClassShare(redShare, false));
        classes.put(FLOOD, new ClassShare(floodShare, true));
        return new Allotment("a", token, serial, 10, extra, classes, List.of());
    }

    @Test
    void newProcessStartsWithoutTokens() {
        assertEquals(0, countAdmitted(RED, 50));
        loop.run(1);
        assertEquals(1, countAdmitted(RED, 50));
    }

    @Test
    void admissionsWithoutAnAllotmentStayWithinTheFixedShare() {
        int admitted = 0;
        for (int second = 1; second <= 60; second++) {
            loop.run(second);
            admission.tick();
            admitted += countAdmitted(FLOOD, 20);
        }
        // 60 per minute, less the 5% that is left for unreported classes.
        assertEquals(57, admitted, 3);
    }

    @Test
    void allotmentDurationCountsFromTheSendingOfItsRequest() {
        loop.run(5);
        admission.useAllotment(allotment(TOKEN, 1, 600, 60, 600), 0, TOKEN);
        assertEquals(660, admission.admissionsPerMinute());
        loop.run(8.99);
        assertEquals(660, admission.admissionsPerMinute());
        // The holder uses it for 90% of 10 s, counted from its request at 0, not its receipt at 5.
        loop.run(9);
        assertEquals(60, admission.admissionsPerMinute());
    }

    @Test
    void staleMisaddressedAndExpiredAllotmentsAreIgnored() {
        admission.useAllotment(allotment(TOKEN, 5, 100, 1, 1), 0, TOKEN);
        admission.useAllotment(allotment(TOKEN, 4, 600, 1, 1), 0, TOKEN);
        admission.useAllotment(allotment(TOKEN, 5, 600, 1, 1), 0, TOKEN);
        admission.useAllotment(allotment(TOKEN.predecessor(), 9, 600, 1, 1), 0, TOKEN);
        admission.useAllotment(
                new Allotment("b", TOKEN, 9, 10, 600, new TreeMap<>(), List.of()), 0, TOKEN);
        admission.useAllotment(allotment(TOKEN, 9, 600, 1, 1), -20, TOKEN);
        assertEquals(160, admission.admissionsPerMinute());
    }

    @Test
    void floodDoesNotUseTheShareOfOtherClasses() {
        admission.useAllotment(allotment(TOKEN, 1, 600, 120, 480), 0, TOKEN);
        int redAdmitted = 0;
        int floodAdmitted = 0;
        for (int step = 1; step <= 80; step++) {
            loop.run(step * 0.1);
            floodAdmitted += countAdmitted(FLOOD, 30);
            redAdmitted += step % 5 == 0 && isAdmitted(RED) ? 1 : 0;
        }
        assertEquals(16, redAdmitted);
        assertTrue(floodAdmitted >= 55 && floodAdmitted <= 80, "flood " + floodAdmitted);
    }

    @Test
    void dueRetryPrecedesNewSubmissionsDuringAFlood() {
        admission.useAllotment(allotment(TOKEN, 1, 600, 0, 60), 0, TOKEN);
        countAdmitted(FLOOD, 3);
        Decision.Refused refusal = assertInstanceOf(Decision.Refused.class, decide(FLOOD, "run-1"));
        loop.run(refusal.retryAfterS() - 0.5);
        countAdmitted(FLOOD, 100);
        // A retry that is too early gets the time until its original retry time, not a later one.
        Decision.Refused earlyRefusal =
                assertInstanceOf(Decision.Refused.class, decide(FLOOD, "run-1"));
        assertEquals(1, earlyRefusal.retryAfterS());
        loop.run(refusal.retryAfterS());
        countAdmitted(FLOOD, 100);
        assertInstanceOf(Decision.Admitted.class, decide(FLOOD, "run-1"));
    }

    @Test
    void retryTimesAreSpreadAtTheClassRateWithinTheMaximumRetryAfter() {
        admission.useAllotment(allotment(TOKEN, 1, 600, 0, 120), 0, TOKEN);
        // More refused jobs than the total rate can admit within the longest Retry-After.
        countAdmitted(RED, 400);
        int[] atSecond = new int[31];
        for (int i = 0; i < 200; i++) {
            Decision.Refused refusal =
                    assertInstanceOf(Decision.Refused.class, decide(FLOOD, "run-" + (1000 + i)));
            atSecond[refusal.retryAfterS()]++;
        }
        for (int second = 1; second < 30; second++) {
            assertEquals(2, atSecond[second], 1, "retries at second " + second);
        }
    }

    @Test
    void aRetriedJobCountsOnceAsDemand() {
        admission.tick();
        for (int attempt = 0; attempt < 50; attempt++) {
            decide(FLOOD, "run-1");
        }
        loop.run(1);
        admission.tick();
        double demandPerMinute = admission.demandReport("p", 1).classes().get(FLOOD).perMinute();
        assertTrue(demandPerMinute < 50, "demand " + demandPerMinute);
        assertEquals(50, admission.demandReport("p", 2).classes().get(FLOOD).refused());
    }

    @Test
    void jobsWithDependenciesAreAClassOfTheirOwn() {
        JobSpec dependent =
                new JobSpecBuilder()
                        .id("run-9")
                        .team("guests")
                        .workload("flood")
                        .dependencies(List.of("run-8"))
                        .build();
        admission.useAllotment(allotment(TOKEN, 1, 600, 0, 480), 0, TOKEN);
        loop.run(2);
        countAdmitted(FLOOD, 200);
        assertInstanceOf(Decision.Admitted.class, admission.decide(dependent));
    }

    @Test
    void refusalForALongQueueGivesTheTimeUntilTheQueueIsWithinTheLimit() {
        Allotment allotmentWithLongQueue =
                new Allotment(
                        "a",
                        TOKEN,
                        1,
                        10,
                        600,
                        new TreeMap<>(),
                        List.of(new QueueWait("guests", JobSpec.Priority.STANDARD, 75)));
        admission.useAllotment(allotmentWithLongQueue, 0, TOKEN);
        loop.run(1);
        Decision.Refused refusal = assertInstanceOf(Decision.Refused.class, decide(FLOOD, "run-1"));
        assertEquals(15, refusal.retryAfterS());
        assertTrue(isAdmitted(RED));
    }

    @Test
    void storeThrottlingLowersTheRateWhichThenRecovers() {
        admission.useAllotment(allotment(TOKEN, 1, 600, 0, 600), 0, TOKEN);
        loop.run(1);
        int before = countAdmitted(FLOOD, 100);
        admission.storeThrottled();
        // A further refusal within the same interval has no effect.
        admission.storeThrottled();
        loop.run(2);
        int after = countAdmitted(FLOOD, 100);
        assertTrue(after >= 5 && after <= before - 2, before + ", then " + after);
        loop.run(8);
        admission.tick();
        loop.run(8.9);
        assertTrue(countAdmitted(FLOOD, 100) >= before - 1);
    }

    @Test
    void tokensAreDiscardedDuringAStoreOutage() {
        admission.useAllotment(allotment(TOKEN, 1, 600, 300, 300), 0, TOKEN);
        admission = new SubmissionAdmission(loop, LIMITS, "a", () -> lastConfirmedAt, 2);
        admission.useAllotment(allotment(TOKEN, 2, 600, 300, 300), 0, TOKEN);
        loop.run(8);
        assertEquals(0, countAdmitted(RED, 50));
        lastConfirmedAt = 8;
        loop.run(8.1);
        assertTrue(countAdmitted(RED, 50) <= 2);
    }

    @Test
    void classesBeyondTheLimitPerTeamShareOne() {
        for (int i = 0; i < 500; i++) {
            decide(new WorkloadClass("guests", "made-up-" + i, false), "run-" + (5000 + i));
        }
        assertTrue(admission.demandReport("p", 1).classes().size() <= 18);
    }

    @Test
    void messagesRoundTripAndMalformedMessagesAreRejected() {
        Allotment sent = allotment(TOKEN, 3, 40, 10, 20);
        assertEquals(
                Optional.of(sent),
                AdmissionMessages.readAllotment(Json.read(AdmissionMessages.write(sent))));
        decide(RED, "run-1");
        DemandReport report = admission.demandReport("p", 4);
        assertEquals(
                report.classes().keySet(),
                AdmissionMessages.readReport(Json.read(AdmissionMessages.write(report)))
                        .orElseThrow()
                        .classes()
                        .keySet());
        String negative =
                "{\"node\":\"a\",\"process\":\"p\",\"seq\":1,\"heldEpoch\":0,\"heldSerial\":0,"
                        + "\"classes\":[[\"red\",\"batch\",false,-5,0,0]]}";
        assertEquals(
                Optional.empty(),
                AdmissionMessages.readReport(Json.read(negative.getBytes(StandardCharsets.UTF_8))));
        assertEquals(
                Optional.empty(),
                AdmissionMessages.readAllotment(Json.read("{}".getBytes(StandardCharsets.UTF_8))));
    }
}
