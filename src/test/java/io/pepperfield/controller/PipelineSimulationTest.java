package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.standin.CancelMoment;
import io.pepperfield.standin.Fault.CancelNow;
import io.pepperfield.standin.Fault.ControllerCrash;
import io.pepperfield.standin.Fault.ControllerSelector;
import io.pepperfield.standin.Fault.DelayedWrites;
import io.pepperfield.standin.Fault.InvalidRequests;
import io.pepperfield.standin.Fault.LeaderCrashes;
import io.pepperfield.standin.Fault.ReadAfterWriteChecks;
import io.pepperfield.standin.Fault.ReplayedHeartbeats;
import io.pepperfield.standin.Fault.StoreLatency;
import io.pepperfield.standin.Fault.StoreOutage;
import io.pepperfield.standin.Fault.StorePartition;
import io.pepperfield.standin.Fault.Way;
import io.pepperfield.standin.PipelineShape;
import io.pepperfield.standin.Scenario;
import io.pepperfield.standin.SimulatedRegion;
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
    private static void submitAll(SimulatedRegion region, PipelineShape shape) {
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
        SimulatedRegion region = new SimulatedRegion(seed);
        region.play(scenario);
        submitAll(region, shape);
        region.world.run(scenario.endsAt());
        String which = "seed " + seed + ", " + shape + " in " + scenario;
        assertEquals(List.of(), region.violations, which);
        assertEquals(List.of(), region.unfinishedJobs(), which);
        assertEquals(List.of(), region.pipelines.unexpectedFinalStates(), which);
        assertEquals(List.of(), region.unansweredQueries(), which);
        assertEquals(List.of(), region.leftoverJobs(), which);
        assertTrue(region.pipelines.cancelledCount() >= shape.jobs(), which);
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
                        .at(
                                12,
                                new DelayedWrites(0.2, 50, false),
                                new ReplayedHeartbeats(0.2, 50, false))
                        .at(15, new LeaderCrashes(6, 50)),
                shape,
                2);
    }

    @ParameterizedTest
    @EnumSource(names = {"CHAIN", "DIAMOND", "FAN"})
    void answersToTransactionsAreLostAndAllControllersEnd(PipelineShape shape) {
        play(
                day(shape)
                        .at(10, new DelayedWrites(0.3, 50, true), new ReadAfterWriteChecks(40))
                        .at(25, new ControllerCrash(ControllerSelector.ALL, 3))
                        .at(45, new ControllerCrash(ControllerSelector.LEADER, 0.2)),
                shape,
                3);
    }

    @ParameterizedTest
    @EnumSource(names = {"CHAIN", "DIAMOND", "FAN"})
    void theStateServiceIsSlowAndThenOut(PipelineShape shape) {
        play(
                day(shape)
                        .at(12, new StoreLatency(0.4, 20))
                        .at(34, new StoreOutage(8))
                        .at(50, new StoreOutage(1.5 * SimulatedRegion.CANCELLATION_DEADLINE_S)),
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
                        .at(
                                30,
                                new StorePartition(
                                        ControllerSelector.LEADER, Way.REFUSE, apartS + 1))
                        .at(30.1, new CancelNow(4, 0))
                        .at(
                                30 + apartS,
                                new StoreOutage(1.5 * SimulatedRegion.CANCELLATION_DEADLINE_S)),
                shape,
                seed);
    }

    @ParameterizedTest
    @CsvSource({"CHAIN, 9", "DIAMOND, 10", "FAN, 11", "MIXED, 12"})
    void noRuleBreaksWhateverFails(PipelineShape shape, long first) {
        for (int more = 0; more <= Integer.getInteger("pepperfield.seeds", 0); more++) {
            long seed = first + 1000L * more;
            SimulatedRegion region = new SimulatedRegion(seed);
            region.world.messageLossShare = 0.01;
            region.world.lateDeliveryShare = 0.005;
            region.world.duplicateDeliveryShare = 0.01;
            submitAll(region, shape);
            for (int i = 0; i < 10; i++) {
                region.world.at(15 + 9 * i, region.faults::injectRandomFault);
            }
            region.world.run(330);
            assertEquals(List.of(), region.violations, "seed " + seed);
            assertEquals(List.of(), region.unfinishedJobs(), "seed " + seed);
            assertEquals(List.of(), region.pipelines.unexpectedFinalStates(), "seed " + seed);
            assertEquals(List.of(), region.unansweredQueries(), "seed " + seed);
        }
    }
}
