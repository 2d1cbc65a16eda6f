package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.standin.Fault.CancelNow;
import io.pepperfield.standin.Fault.ControllerCrash;
import io.pepperfield.standin.Fault.ControllerPartition;
import io.pepperfield.standin.Fault.ControllerReplacement;
import io.pepperfield.standin.Fault.ControllerSelector;
import io.pepperfield.standin.Fault.DelayedWrites;
import io.pepperfield.standin.Fault.GrantsRefused;
import io.pepperfield.standin.Fault.LargeArrays;
import io.pepperfield.standin.Fault.LeaderCrashes;
import io.pepperfield.standin.Fault.MachineReboot;
import io.pepperfield.standin.Fault.MachineSelector;
import io.pepperfield.standin.Fault.Pipelines;
import io.pepperfield.standin.Fault.Side;
import io.pepperfield.standin.Fault.StoreLimitsReduction;
import io.pepperfield.standin.Fault.StoreOutage;
import io.pepperfield.standin.Fault.SubmissionFlood;
import io.pepperfield.standin.Fault.Upgrade;
import io.pepperfield.standin.Fault.Way;
import io.pepperfield.standin.Scenario;
import io.pepperfield.standin.SimulatedRegion;
import io.pepperfield.standin.Version;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Clusters in which controllers of the recorded production version and of the current version run
 * side by side, and reductions of the state service's limits. {@code -Dpepperfield.seeds=20} runs
 * each scenario with 20 further seeds.
 */
class UpgradeTest {

    private static final int NODES = 3;

    private static void runAllSeeds(Scenario scenario, long seed) {
        for (int round = 0; round <= Integer.getInteger("pepperfield.seeds", 0); round++) {
            runScenario(scenario, seed + 1000L * round);
        }
    }

    private static SimulatedRegion runScenario(Scenario scenario, long seed) {
        SimulatedRegion region = SimulatedRegion.beforeUpgrade(seed);
        region.schedule(scenario);
        region.world.run(scenario.endsAt());
        assertFinalState(region, "seed " + seed + " of " + scenario);
        return region;
    }

    private static void assertFinalState(SimulatedRegion region, String context) {
        assertEquals(List.of(), region.violations, context);
        assertEquals(List.of(), region.unfinishedJobs(), context);
        assertEquals(List.of(), region.unansweredQueries(), context);
        assertEquals(List.of(), region.leftoverJobs(), context);
        assertEquals(List.of(), region.reusedRentalRequestIds(), context);
        assertEquals(List.of(), region.jobsWithChangedDependencies(), context);
        assertTrue(region.allRunCurrentVersion(), context);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void upgradeChangesTheLeaderAtMostOncePerRestartedController(long seed) {
        Scenario scenario =
                Scenario.jobs(40, 2)
                        .at(30, new Upgrade(30))
                        .at(70, new Pipelines(4, 20))
                        .at(85, new StoreLimitsReduction());
        for (int round = 0; round <= Integer.getInteger("pepperfield.seeds", 0); round++) {
            SimulatedRegion region = runScenario(scenario, seed + 1000L * round);
            assertTrue(
                    region.leaderChanges() <= 1 + NODES,
                    "seed " + seed + ": leadership changed " + region.leaderChanges() + " times");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsFinishWhileALeaderOfTheOldVersionHasUpgradedFollowers(long seed) {
        runAllSeeds(
                Scenario.jobs(40, 2)
                        .at(
                                30,
                                new ControllerReplacement(
                                        ControllerSelector.afterLeader(1), Version.CURRENT, 4))
                        .at(
                                40,
                                new ControllerReplacement(
                                        ControllerSelector.afterLeader(2), Version.CURRENT, 4))
                        .at(50, new CancelNow(4, 0))
                        .at(70, new Upgrade(10))
                        .at(90, new Pipelines(4, 20)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsFinishWhileAnUpgradedLeaderHasFollowersOfTheOldVersion(long seed) {
        Scenario scenario =
                Scenario.jobs(40, 2).at(50, new CancelNow(4, 0)).at(80, new Pipelines(4, 20));
        for (int round = 0; round <= Integer.getInteger("pepperfield.seeds", 0); round++) {
            SimulatedRegion region = SimulatedRegion.beforeUpgrade(seed + 1000L * round);
            region.schedule(scenario);
            region.world.run(30);
            int upgradedNode = region.leaderIndex();
            region.faults.restartAs(upgradedNode, Version.CURRENT, 0.2);
            region.world.run(33);
            if (region.leaderIndex() != upgradedNode) {
                // Leaves only the upgraded controller to be elected; the others restart in the old
                // version.
                region.faults.crash((upgradedNode + 1) % NODES, 3);
                region.faults.crash((upgradedNode + 2) % NODES, 3);
                region.world.run(region.world.now() + 4);
            }
            region.world.run(66);
            assertEquals(
                    upgradedNode,
                    region.leaderIndex(),
                    "leadership moved from the upgraded controller");
            region.faults.restartAs((upgradedNode + 1) % NODES, Version.CURRENT, 5);
            region.faults.restartAs((upgradedNode + 2) % NODES, Version.CURRENT, 5);
            region.world.run(scenario.endsAt());
            assertFinalState(region, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void jobsFinishWhenControllersRestartInTheOldVersionBeforeTheirUpgrade(long seed) {
        runAllSeeds(
                Scenario.jobs(40, 2)
                        .at(
                                24,
                                new ControllerReplacement(
                                        ControllerSelector.LEADER, Version.CURRENT, 5))
                        .at(25, new ControllerCrash(ControllerSelector.afterLeader(1), 0.2))
                        .at(32, new LeaderCrashes(6, 24))
                        .at(40, new DelayedWrites(0.2, 20, false))
                        .at(44, new Upgrade(30))
                        .at(85, new Pipelines(4, 20)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void downgradeLosesNothingBeforeJobDependenciesAreUsed(long seed) {
        runAllSeeds(
                Scenario.jobs(40, 2)
                        .at(20, new Upgrade(20))
                        .at(
                                50,
                                new ControllerReplacement(
                                        ControllerSelector.LEADER, Version.RECORDED, 1))
                        .at(
                                56,
                                new ControllerReplacement(
                                        ControllerSelector.afterLeader(1), Version.RECORDED, 1))
                        .at(
                                62,
                                new ControllerReplacement(
                                        ControllerSelector.afterLeader(2), Version.RECORDED, 1))
                        .at(75, new Upgrade(15))
                        .at(100, new Pipelines(3, 15)),
                seed);
    }

    @Test
    void followerOfTheOldVersionPreservesJobDependencies() {
        SimulatedRegion region = SimulatedRegion.beforeUpgrade(5);
        Scenario scenario =
                Scenario.jobs(12, 2)
                        .at(20, new Upgrade(10))
                        .at(40, new Pipelines(4, 8))
                        // The old version does not report a job as cancelled along with a
                        // prerequisite, so users must not query this controller.
                        .at(
                                56,
                                new ControllerPartition(
                                        ControllerSelector.afterLeader(1),
                                        Set.of(Side.USERS),
                                        Way.REFUSE,
                                        14))
                        .at(
                                56,
                                new ControllerReplacement(
                                        ControllerSelector.afterLeader(1), Version.RECORDED, 0.5))
                        .at(
                                66,
                                new ControllerReplacement(
                                        ControllerSelector.afterLeader(1), Version.CURRENT, 1));
        region.schedule(scenario);
        region.world.run(scenario.endsAt());
        assertFinalState(region, scenario.toString());
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16})
    void invariantsHoldUnderRandomFaultsDuringAnUpgrade(long seed) {
        for (int round = 0; round <= Integer.getInteger("pepperfield.seeds", 0); round++) {
            runUpgradeWithRandomFaults(seed + 1000L * round);
        }
    }

    private static void runUpgradeWithRandomFaults(long seed) {
        SimulatedRegion region = SimulatedRegion.beforeUpgrade(seed);
        region.world.messageLossShare = 0.01;
        region.world.lateDeliveryShare = 0.005;
        region.world.duplicateDeliveryShare = 0.01;
        Scenario scenario =
                Scenario.jobs(40, 4)
                        .at(30, new Upgrade(60))
                        .at(60, new LargeArrays(2, 150, 2))
                        .at(110, new Pipelines(6, 30))
                        .at(100 + region.world.random.nextInt(60), new StoreLimitsReduction());
        region.schedule(scenario);
        for (int i = 0; i < 12; i++) {
            region.world.at(20 + 11 * i, region.faults::injectRandomFault);
        }
        region.world.run(420);
        String context = "seed " + seed;
        assertEquals(List.of(), region.violations, context);
        assertEquals(List.of(), region.unfinishedJobs(), context);
        assertEquals(List.of(), region.unansweredQueries(), context);
        assertEquals(List.of(), region.jobsWithChangedDependencies(), context);
        assertTrue(
                region.acceptedJobCount() >= 40,
                context + " accepted " + region.acceptedJobCount());
        assertTrue(region.allRunCurrentVersion(), context);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void recordsLargerThanReducedStoreLimitsAreDivided(long seed) {
        Scenario scenario =
                Scenario.jobs(20, 3)
                        .at(20, new SubmissionFlood(6, 20))
                        .at(24, new LargeArrays(2, 136, 12))
                        .at(26, new Upgrade(12))
                        .at(46, new StoreLimitsReduction())
                        .at(50, new CancelNow(4, 0));
        for (int round = 0; round <= Integer.getInteger("pepperfield.seeds", 0); round++) {
            SimulatedRegion region = runScenario(scenario, seed + 1000L * round);
            assertTrue(
                    region.oversizedTransactionCount() > 0,
                    "no transaction was refused for its size, seed " + seed);
            // The first two records hold 68 tasks each; later ones are parts of a divided record.
            assertTrue(
                    IntStream.range(2, 8)
                            .mapToObj(
                                    part ->
                                            region.storedValue(
                                                    "pepperfield/run/run-800001/" + part))
                            .anyMatch(Objects::nonNull),
                    "no record was divided, seed " + seed);
        }
    }

    /** All jobs in a shared record of the old version are started again, each with a guard. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void jobsFinishWhenMoreTasksStartAtOnceThanATransactionHasGuards(long seed) {
        double runS = 100;
        Scenario scenario =
                Scenario.jobs(4, 2)
                        .at(10, new LargeArrays(44, 1, runS))
                        .at(56, new Upgrade(9))
                        .at(74, new StoreLimitsReduction())
                        .at(75, new MachineReboot(MachineSelector.share(1)));
        for (int round = 0; round <= Integer.getInteger("pepperfield.seeds", 0); round++) {
            SimulatedRegion region = SimulatedRegion.beforeUpgrade(seed + 1000L * round);
            region.schedule(scenario);
            // Some tasks may have to wait until others have ended and freed their machine.
            region.world.run(scenario.endsAt() + runS);
            assertFinalState(region, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsFinishWhenStoreLimitsAreReducedDuringAnElection(long seed) {
        runAllSeeds(
                Scenario.jobs(30, 2)
                        .at(20, new Upgrade(12))
                        .at(24, new LargeArrays(2, 136, 8))
                        .at(45, new ControllerCrash(ControllerSelector.LEADER, 3))
                        .at(45.5, new StoreLimitsReduction())
                        .at(50, new Pipelines(4, 10)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsFinishWhenStoreLimitsAreReducedAsAnOutageEnds(long seed) {
        runAllSeeds(
                Scenario.jobs(30, 2)
                        .at(20, new Upgrade(12))
                        .at(24, new LargeArrays(2, 136, 8))
                        .at(44, new StoreOutage(8))
                        .at(52, new StoreLimitsReduction(), new Pipelines(4, 10)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void jobsFinishWhenStoreLimitsAreReducedWhileBothVersionsServe(long seed) {
        runAllSeeds(
                Scenario.jobs(30, 2)
                        .at(20, new LargeArrays(2, 136, 8))
                        .at(26, new Upgrade(24))
                        .at(36, new StoreLimitsReduction())
                        .at(70, new Pipelines(4, 10)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void brieflyRefusedGrantRenewalsKeepTheLeader(long seed) {
        // A grant lasts 0.75 s in this region and is renewed four times within that period.
        SimulatedRegion region = SimulatedRegion.beforeUpgrade(seed);
        Scenario scenario =
                Scenario.jobs(20, 2)
                        .at(20, new Upgrade(12))
                        .at(50, new StoreLimitsReduction(), new SubmissionFlood(8, 10))
                        .at(52, new GrantsRefused(0.3))
                        .at(55, new GrantsRefused(0.3));
        region.schedule(scenario);
        region.world.run(48);
        int changesBefore = region.leaderChanges();
        region.world.run(scenario.endsAt());
        assertEquals(changesBefore, region.leaderChanges(), "leadership was lost");
        assertFinalState(region, "seed " + seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void jobsFinishWhenGrantRenewalsAreRefusedForSeveralSeconds(long seed) {
        runAllSeeds(
                Scenario.jobs(20, 2)
                        .at(20, new Upgrade(12))
                        .at(50, new StoreLimitsReduction(), new GrantsRefused(4))
                        .at(51, new Pipelines(3, 6)),
                seed);
    }
}
