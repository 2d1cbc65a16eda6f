package io.pepperfield.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.rollout.ClusterVersion.Phase;
import io.pepperfield.standin.Fault.CancelNow;
import io.pepperfield.standin.Fault.ControllerCrash;
import io.pepperfield.standin.Fault.ControllerPause;
import io.pepperfield.standin.Fault.ControllerReplacement;
import io.pepperfield.standin.Fault.ControllerSelector;
import io.pepperfield.standin.Fault.DelayedWrites;
import io.pepperfield.standin.Fault.LargeArrays;
import io.pepperfield.standin.Fault.LeaderCrashes;
import io.pepperfield.standin.Fault.MachineReboot;
import io.pepperfield.standin.Fault.MachineSelector;
import io.pepperfield.standin.Fault.OperatorCommand;
import io.pepperfield.standin.Fault.Pipelines;
import io.pepperfield.standin.Fault.StoreLimitsReduction;
import io.pepperfield.standin.Fault.StoreOutage;
import io.pepperfield.standin.Fault.Upgrade;
import io.pepperfield.standin.Scenario;
import io.pepperfield.standin.SimOperator.Command;
import io.pepperfield.standin.SimulatedRegion;
import io.pepperfield.standin.Version;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against lost jobs and misread records while five controllers are upgraded, rolled back and
 * upgraded again under load. Processes crash, and some are restarted on an older release. The
 * region checks all invariants, including that each record is stored in one format and is written
 * under the current version. {@code -Dpepperfield.seeds=100} adds seeds.
 */
class RolloutSimulationTest {

    private static SimulatedRegion play(Scenario scenario, long seed) {
        SimulatedRegion region = SimulatedRegion.beforeRollout(seed, Version.GATED);
        region.schedule(scenario);
        region.world.run(scenario.endsAt());
        return region;
    }

    private static void checkEnd(SimulatedRegion region, Phase phase, String description) {
        assertEquals(List.of(), region.violations, description);
        assertEquals(phase, version(region).phase(), description);
        assertEquals(List.of(), region.unfinishedJobs(), description);
        assertEquals(List.of(), region.unansweredQueries(), description);
        assertEquals(List.of(), region.leftoverJobs(), description);
        assertEquals(List.of(), region.reusedRentalRequestIds(), description);
        assertEquals(List.of(), region.jobsWithChangedDependencies(), description);
    }

    private static ClusterVersion version(SimulatedRegion region) {
        JsonNode record = region.storedValue("pepperfield/rollout/version");
        return record == null
                ? ClusterVersion.INITIAL
                : ClusterVersion.fromJson(record).orElseThrow();
    }

    private static void playWithAllSeeds(Scenario scenario, long seed, Phase phase) {
        for (int run = 0; run <= Integer.getInteger("pepperfield.seeds", 0); run++) {
            long drawnSeed = seed + 1000L * run;
            SimulatedRegion region = play(scenario, drawnSeed);
            checkEnd(region, phase, "seed " + drawnSeed + " of " + scenario);
        }
    }

    private static Scenario upgraded(int jobs) {
        return Scenario.jobs(jobs, 2)
                .at(20, new Upgrade(20, Version.ROLLOUT))
                .at(24, new LargeArrays(3, 150, 6))
                .at(26, new OperatorCommand(Command.ACTIVATE, 60));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void activationWaitsForAllControllersAndRollbackLeavesNoNewerRecords(long seed) {
        playWithAllSeeds(
                upgraded(40)
                        .at(60, new LargeArrays(3, 150, 6))
                        .at(75, new OperatorCommand(Command.ROLLBACK, 30))
                        .at(85, new Pipelines(4, 10)),
                seed,
                Phase.FINALIZED);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6})
    void versionChangesSurviveCrashesAndDowngrades(long seed) {
        Scenario scenario =
                upgraded(50)
                        .at(25, new ControllerCrash(ControllerSelector.LEADER, 0.2))
                        .at(
                                32,
                                new ControllerReplacement(
                                        ControllerSelector.node(1), Version.GATED, 0.2))
                        .at(36, new LeaderCrashes(6, 24))
                        .at(38, new DelayedWrites(0.2, 30, false))
                        .at(
                                44,
                                new ControllerReplacement(
                                        ControllerSelector.node(1), Version.ROLLOUT, 0.3))
                        .at(
                                58,
                                new ControllerReplacement(
                                        ControllerSelector.node(2), Version.GATED, 0.2))
                        .at(60, new LargeArrays(2, 150, 8), new CancelNow(4, 0))
                        .at(64, new OperatorCommand(Command.ROLLBACK, 30))
                        .at(65, new ControllerCrash(ControllerSelector.LEADER, 1))
                        .at(
                                66,
                                new ControllerReplacement(
                                        ControllerSelector.node(2), Version.ROLLOUT, 1))
                        .at(67, new OperatorCommand(Command.ACTIVATE, 40))
                        .at(70, new DelayedWrites(0.2, 20, true))
                        .at(90, new Pipelines(4, 10));
        playWithAllSeeds(scenario, seed, Phase.ACTIVE);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void rollbackSurvivesLimitReductionAndStoreOutage(long seed) {
        playWithAllSeeds(
                upgraded(40)
                        .at(45, new StoreLimitsReduction())
                        .at(50, new LargeArrays(2, 136, 10))
                        .at(56, new OperatorCommand(Command.ROLLBACK, 60))
                        .at(56.5, new StoreOutage(5))
                        .at(63, new ControllerPause(ControllerSelector.LEADER, 8)),
                seed,
                Phase.FINALIZED);
    }

    /**
     * Records of the size that the recorded production version writes exceed the reduced limits
     * unless they are compact, so the rollback has to split them.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void rollbackSplitsRecordsTooLargeForVersionOne(long seed) {
        for (int run = 0; run <= Integer.getInteger("pepperfield.seeds", 0); run++) {
            SimulatedRegion region =
                    SimulatedRegion.beforeRollout(seed + 1000L * run, Version.RECORDED);
            Scenario scenario =
                    Scenario.jobs(10, 2)
                            .at(10, new LargeArrays(2, 136, 70))
                            .at(14, new Upgrade(10, Version.ROLLOUT))
                            .at(26, new OperatorCommand(Command.ACTIVATE, 10))
                            // Restarts the tasks, and so rewrites their records in the compact
                            // format.
                            .at(38, new MachineReboot(MachineSelector.share(1)))
                            .at(60, new StoreLimitsReduction())
                            .at(61, new OperatorCommand(Command.ROLLBACK, 10))
                            .at(62, new ControllerCrash(ControllerSelector.LEADER, 2));
            region.schedule(scenario);
            region.world.run(59);
            assertNotNull(region.storedValue("pepperfield/v2/run/run-800000/0"), "seed " + seed);
            region.world.run(100);
            assertEquals(ClusterVersion.INITIAL, version(region), "seed " + seed);
            assertNotNull(
                    region.storedValue("pepperfield/run/run-800000/2"), "no record was split");
            region.world.run(scenario.endsAt() + 100);
            checkEnd(region, Phase.FINALIZED, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16})
    void invariantsHoldUnderRandomFaultsDuringARollout(long seed) {
        for (int run = 0; run <= Integer.getInteger("pepperfield.seeds", 0); run++) {
            playWithRandomFaults(seed + 1000L * run);
        }
    }

    private static void playWithRandomFaults(long seed) {
        SimulatedRegion region = SimulatedRegion.beforeRollout(seed, Version.GATED);
        region.world.messageLossShare = 0.01;
        region.world.lateDeliveryShare = 0.005;
        region.world.duplicateDeliveryShare = 0.01;
        Scenario scenario =
                Scenario.jobs(45, 4)
                        .at(30, new Upgrade(40, Version.ROLLOUT))
                        .at(40, new OperatorCommand(Command.ACTIVATE, 90))
                        .at(60, new LargeArrays(2, 150, 5))
                        .at(120, new OperatorCommand(Command.ROLLBACK, 60))
                        .at(125, new LargeArrays(2, 150, 5))
                        .at(135, new OperatorCommand(Command.ACTIVATE, 60))
                        .at(150, new Pipelines(4, 20));
        region.schedule(scenario);
        for (int i = 0; i < 14; i++) {
            region.world.at(20 + 11 * i, region.faults::injectRandomFault);
        }
        for (int i = 0; i < 4; i++) {
            int node = region.world.random.nextInt(5);
            double at = 90 + 10 * region.world.random.nextDouble() * (i + 1);
            region.world.at(at, () -> region.faults.restartAs(node, Version.GATED, 0.2));
            region.world.at(at + 8, () -> region.faults.restartAs(node, Version.ROLLOUT, 0.2));
        }
        region.world.run(440);
        String description = "seed " + seed;
        assertEquals(List.of(), region.violations, description);
        assertEquals(List.of(), region.unfinishedJobs(), description);
        assertTrue(region.allRun(Version.ROLLOUT), description);
        assertEquals(List.of(), region.unansweredQueries(), description);
        assertEquals(List.of(), region.jobsWithChangedDependencies(), description);
        assertTrue(
                region.acceptedJobCount() >= 45,
                description + " accepted " + region.acceptedJobCount());
        assertTrue(region.operator.confirmed.contains(Command.ACTIVATE), description);
    }

    @Test
    void controllerOnOldReleaseBlocksActivation() {
        SimulatedRegion region = SimulatedRegion.beforeRollout(7, Version.ROLLOUT);
        Scenario scenario = Scenario.jobs(10, 2).at(20, new OperatorCommand(Command.ACTIVATE, 5));
        region.schedule(scenario);
        region.world.run(12);
        region.faults.restartAs(3, Version.GATED, 0.2);
        region.world.run(40);
        assertEquals(Phase.FINALIZED, version(region).phase());
        assertTrue(
                region.operator.refusals.contains("waits for: node-3 runs gated, which writes 1"),
                region.operator.refusals.toString());
        region.world.run(scenario.endsAt());
        checkEnd(region, Phase.FINALIZED, scenario.toString());
    }

    @Test
    void rollbackIsRefusedAfterFinalization() {
        SimulatedRegion region =
                play(
                        Scenario.jobs(10, 2)
                                .at(10, new Upgrade(5, Version.ROLLOUT))
                                .at(20, new OperatorCommand(Command.ACTIVATE, 20))
                                .at(45, new OperatorCommand(Command.FINALIZE, 5))
                                .at(55, new OperatorCommand(Command.ROLLBACK, 2)),
                        8);
        checkEnd(region, Phase.FINALIZED, "finalization");
        assertEquals(2, version(region).writeVersion());
        assertTrue(
                region.operator.refusals.contains("version 2 is final: there is no way back"),
                region.operator.refusals.toString());
    }

    /**
     * The recorded production version has no version gate. Once the leader key has moved, it must
     * not become leader, and its writes must be valid.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void recordedVersionCannotLeadWhileNewerVersionIsActive(long seed) {
        SimulatedRegion region = SimulatedRegion.beforeRollout(seed, Version.ROLLOUT);
        Scenario scenario =
                Scenario.jobs(30, 2)
                        .at(15, new OperatorCommand(Command.ACTIVATE, 10))
                        .at(24, new LargeArrays(2, 150, 6))
                        .at(
                                30,
                                new ControllerReplacement(
                                        ControllerSelector.node(0), Version.RECORDED, 0.2))
                        .at(
                                32,
                                new ControllerReplacement(
                                        ControllerSelector.node(1), Version.RECORDED, 0.2))
                        .at(34, new LeaderCrashes(4, 12))
                        .at(
                                50,
                                new ControllerReplacement(
                                        ControllerSelector.node(0), Version.ROLLOUT, 0.2))
                        .at(
                                51,
                                new ControllerReplacement(
                                        ControllerSelector.node(1), Version.ROLLOUT, 0.2))
                        .at(60, new OperatorCommand(Command.ROLLBACK, 10));
        region.schedule(scenario);
        for (double at = 35; at < 50; at += 0.5) {
            region.world.run(at);
            assertTrue(
                    region.leaderName().isEmpty() || region.leaderIndex() > 1,
                    region.leaderName() + " leads at " + at);
        }
        region.world.run(scenario.endsAt());
        checkEnd(region, Phase.FINALIZED, "seed " + seed);
    }
}
