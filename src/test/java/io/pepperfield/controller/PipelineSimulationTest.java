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
 * Pipelines in the simulated region, with a job of each cancelled at every stage. No task starts
 * before the final states of its job's prerequisites are durable, and no reply is older than one
 * that a user has received. {@code -Dpepperfield.seeds=20} runs each scenario with 20 further
 * seeds.
 */
class PipelineSimulationTest {

    private static final double FIRST_PIPELINE_S = Scenario.FIRST_JOB_S;
    private static final double PIPELINE_INTERVAL_S = 3;

    /** A scenario that ends after the last pipeline was submitted. */
    private static Scenario baseScenario(PipelineShape shape) {
        return Scenario.jobs(0, 1)
                .at(FIRST_PIPELINE_S, new InvalidRequests(submissionPeriodS(shape)));
    }

    private static double submissionPeriodS(PipelineShape shape) {
        return PIPELINE_INTERVAL_S * shape.jobs() * CancelMoment.values().length;
    }

    private static void runAllSeeds(Scenario scenario, PipelineShape shape, long seed) {
        for (int round = 0; round <= Integer.getInteger("pepperfield.seeds", 0); round++) {
            runScenario(scenario, shape, seed + 1000L * round);
        }
    }

    /** Submits a pipeline for each combination of cancelled job and moment of cancellation. */
    private static void submitAll(SimulatedRegion region, PipelineShape shape) {
        int pipelines = 0;
        for (CancelMoment moment : CancelMoment.values()) {
            for (int job = 0; job < shape.jobs(); job++) {
                int number = 1000 + 10 * pipelines;
                int cancelledJob = job;
                region.world.at(
                        FIRST_PIPELINE_S + PIPELINE_INTERVAL_S * pipelines++,
                        () -> region.pipelines.submit(number, shape, cancelledJob, moment));
            }
        }
    }

    private static void runScenario(Scenario scenario, PipelineShape shape, long seed) {
        SimulatedRegion region = new SimulatedRegion(seed);
        region.schedule(scenario);
        submitAll(region, shape);
        region.world.run(scenario.endsAt());
        String context = "seed " + seed + ", " + shape + " in " + scenario;
        assertEquals(List.of(), region.violations, context);
        assertEquals(List.of(), region.unfinishedJobs(), context);
        assertEquals(List.of(), region.pipelines.unexpectedFinalStates(), context);
        assertEquals(List.of(), region.unansweredQueries(), context);
        assertEquals(List.of(), region.leftoverJobs(), context);
        assertTrue(region.pipelines.cancelledCount() >= shape.jobs(), context);
    }

    @ParameterizedTest
    @EnumSource(PipelineShape.class)
    void cancellationsTakeEffectAtEveryStageOfAPipeline(PipelineShape shape) {
        runAllSeeds(
                baseScenario(shape)
                        .at(FIRST_PIPELINE_S, new ReadAfterWriteChecks(submissionPeriodS(shape))),
                shape,
                1);
    }

    @ParameterizedTest
    @EnumSource(names = {"CHAIN", "DIAMOND", "FAN"})
    void pipelinesEndCorrectlyWhenLeadersChangeAndWritesAreDelayed(PipelineShape shape) {
        runAllSeeds(
                baseScenario(shape)
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
    void pipelinesEndCorrectlyWhenStoreRepliesAreLostAndAllControllersCrash(PipelineShape shape) {
        runAllSeeds(
                baseScenario(shape)
                        .at(10, new DelayedWrites(0.3, 50, true), new ReadAfterWriteChecks(40))
                        .at(25, new ControllerCrash(ControllerSelector.ALL, 3))
                        .at(45, new ControllerCrash(ControllerSelector.LEADER, 0.2)),
                shape,
                3);
    }

    @ParameterizedTest
    @EnumSource(names = {"CHAIN", "DIAMOND", "FAN"})
    void pipelinesEndCorrectlyWhenTheStoreIsSlowAndThenUnavailable(PipelineShape shape) {
        runAllSeeds(
                baseScenario(shape)
                        .at(12, new StoreLatency(0.4, 20))
                        .at(34, new StoreOutage(8))
                        .at(50, new StoreOutage(1.5 * SimulatedRegion.CANCELLATION_DEADLINE_S)),
                shape,
                4);
    }

    /**
     * An ancestor is cancelled while the leader alone cannot read the state service, and then no
     * controller can.
     */
    @ParameterizedTest
    @CsvSource({"CHAIN, 5, 1", "DIAMOND, 6, 2", "FAN, 7, 0.5"})
    void pipelinesEndCorrectlyWhenTheStoreRejectsTheLeaderAndThenAllControllers(
            PipelineShape shape, long seed, double apartS) {
        runAllSeeds(
                baseScenario(shape)
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
    void invariantsHoldUnderRandomFaults(PipelineShape shape, long firstSeed) {
        for (int round = 0; round <= Integer.getInteger("pepperfield.seeds", 0); round++) {
            long seed = firstSeed + 1000L * round;
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
