package io.pepperfield.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.standin.CancelMoment;
import io.pepperfield.standin.PipelineShape;
import io.pepperfield.standin.Region;
import io.pepperfield.standin.Scenario;
import io.pepperfield.standin.Trouble.CancelNow;
import io.pepperfield.standin.Trouble.Controllers;
import io.pepperfield.standin.Trouble.InvalidRequests;
import io.pepperfield.standin.Trouble.LateReports;
import io.pepperfield.standin.Trouble.LateWrites;
import io.pepperfield.standin.Trouble.LeaderChanges;
import io.pepperfield.standin.Trouble.NodeCrash;
import io.pepperfield.standin.Trouble.ReadAfterWriteChecks;
import io.pepperfield.standin.Trouble.StateCut;
import io.pepperfield.standin.Trouble.StateOutage;
import io.pepperfield.standin.Trouble.StateSlow;
import io.pepperfield.standin.Trouble.Way;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Pipelines in the simulated region, a job of each cancelled at every stage: no task starts before
 * the durable end of what its job needs, and nobody hears anything older than what a user was told.
 * Of more seeds each with {@code -Dpepperfield.seeds=20}.
 */
class PipelineSimulationTest {

    private static final double FIRST_S = Scenario.FIRST_JOB_S;
    private static final double EVERY_S = 3;

    /** A day that is not over before the last pipeline was submitted. */
    private static Scenario day(PipelineShape shape) {
        return Scenario.jobs(0, 1).at(FIRST_S, new InvalidRequests(lastsS(shape)));
    }

    private static double lastsS(PipelineShape shape) {
        return EVERY_S * shape.jobs() * CancelMoment.values().length;
    }

    private static void play(Scenario scenario, PipelineShape shape, long seed) {
        for (int more = 0; more <= Integer.getInteger("pepperfield.seeds", 0); more++) {
            playOnce(scenario, shape, seed + 1000L * more);
        }
    }

    /** A pipeline of the shape for each of its jobs and each moment of a cancellation. */
    private static void submitAll(Region region, PipelineShape shape) {
        int pipelines = 0;
        for (CancelMoment moment : CancelMoment.values()) {
            for (int cancelled = 0; cancelled < shape.jobs(); cancelled++) {
                int number = 1000 + 10 * pipelines;
                int index = cancelled;
                region.world.at(
                        FIRST_S + EVERY_S * pipelines++,
                        () -> region.pipelines.submit(number, shape, index, moment));
            }
        }
    }

    private static void playOnce(Scenario scenario, PipelineShape shape, long seed) {
        Region region = new Region(seed);
        region.play(scenario);
        submitAll(region, shape);
        region.world.run(scenario.endsAt());
        String which = "seed " + seed + ", " + shape + " in " + scenario;
        assertEquals(List.of(), region.broken, which);
        assertEquals(List.of(), region.unfinished(), which);
        assertEquals(List.of(), region.pipelines.wronglyEnded(), which);
        assertEquals(List.of(), region.unanswered(), which);
        assertEquals(List.of(), region.leftOver(), which);
        assertTrue(region.pipelines.cancelled() >= shape.jobs(), which);
    }

    @ParameterizedTest
    @EnumSource(PipelineShape.class)
    void jobsAreCancelledAtEveryStage(PipelineShape shape) {
        play(day(shape).at(FIRST_S, new ReadAfterWriteChecks(lastsS(shape))), shape, 1);
    }

    @ParameterizedTest
    @EnumSource(names = {"CHAIN", "DIAMOND", "FAN"})
    void leadersChangeWhileTransactionsAreCarriedOutLate(PipelineShape shape) {
        play(
                day(shape)
                        .at(12, new LateWrites(0.2, 50, false), new LateReports(0.2, 50, false))
                        .at(15, new LeaderChanges(6, 50)),
                shape,
                2);
    }

    @ParameterizedTest
    @EnumSource(names = {"CHAIN", "DIAMOND", "FAN"})
    void answersToTransactionsAreLostAndAllControllersEnd(PipelineShape shape) {
        play(
                day(shape)
                        .at(10, new LateWrites(0.3, 50, true), new ReadAfterWriteChecks(40))
                        .at(25, new NodeCrash(Controllers.ALL, 3))
                        .at(45, new NodeCrash(Controllers.LEADER, 0.2)),
                shape,
                3);
    }

    @ParameterizedTest
    @EnumSource(names = {"CHAIN", "DIAMOND", "FAN"})
    void theStateServiceIsSlowAndThenOut(PipelineShape shape) {
        play(
                day(shape)
                        .at(12, new StateSlow(0.4, 20))
                        .at(34, new StateOutage(8))
                        .at(50, new StateOutage(1.5 * Region.CANCEL_S)),
                shape,
                4);
    }

    /** An ancestor is cancelled while only the leader cannot hear of it, and then nobody can. */
    @ParameterizedTest
    @CsvSource({"CHAIN, 5, 1", "DIAMOND, 6, 2", "FAN, 7, 0.5"})
    void theStateServiceRefusesTheLeaderAndThenEverybody(
            PipelineShape shape, long seed, double apartS) {
        play(
                day(shape)
                        .at(30, new StateCut(Controllers.LEADER, Way.REFUSE, apartS + 1))
                        .at(30.1, new CancelNow(4, 0))
                        .at(30 + apartS, new StateOutage(1.5 * Region.CANCEL_S)),
                shape,
                seed);
    }

    @ParameterizedTest
    @CsvSource({"CHAIN, 9", "DIAMOND, 10", "FAN, 11", "MIXED, 12"})
    void noRuleBreaksWhateverFails(PipelineShape shape, long first) {
        for (int more = 0; more <= Integer.getInteger("pepperfield.seeds", 0); more++) {
            long seed = first + 1000L * more;
            Region region = new Region(seed);
            region.world.lost = 0.01;
            region.world.late = 0.005;
            region.world.copies = 0.01;
            submitAll(region, shape);
            for (int i = 0; i < 10; i++) {
                region.world.at(15 + 9 * i, region::trouble);
            }
            region.world.run(330);
            assertEquals(List.of(), region.broken, "seed " + seed);
            assertEquals(List.of(), region.unfinished(), "seed " + seed);
            assertEquals(List.of(), region.pipelines.wronglyEnded(), "seed " + seed);
            assertEquals(List.of(), region.unanswered(), "seed " + seed);
        }
    }
}
