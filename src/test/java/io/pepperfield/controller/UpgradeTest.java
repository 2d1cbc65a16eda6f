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
 * The recorded version and this one side by side, and limits of the state service that fall. Of
 * more seeds each with {@code -Dpepperfield.seeds=20}.
 */
class UpgradeTest {

    private static final int NODES = 3;

    private static void play(Scenario scenario, long seed) {
        for (int more = 0; more <= Integer.getInteger("pepperfield.seeds", 0); more++) {
            playOnce(scenario, seed + 1000L * more);
        }
    }

    private static SimulatedRegion playOnce(Scenario scenario, long seed) {
        SimulatedRegion region = SimulatedRegion.beforeUpgrade(seed);
        region.play(scenario);
        region.world.run(scenario.endsAt());
        checkEnd(region, "seed " + seed + " of " + scenario);
        return region;
    }

    private static void checkEnd(SimulatedRegion region, String day) {
        assertEquals(List.of(), region.violations, day);
        assertEquals(List.of(), region.unfinishedJobs(), day);
        assertEquals(List.of(), region.unansweredQueries(), day);
        assertEquals(List.of(), region.leftoverJobs(), day);
        assertEquals(List.of(), region.reusedRentalNames(), day);
        assertEquals(List.of(), region.alteredJobs(), day);
        assertTrue(region.upgraded(), day);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anUpgradeAloneChangesTheLeaderNoMoreThanOnceForEachProcessThatEnds(long seed) {
        Scenario day =
                Scenario.jobs(40, 2)
                        .at(30, new Upgrade(30))
                        .at(70, new Pipelines(4, 20))
                        .at(85, new StoreLimitsReduction());
        for (int more = 0; more <= Integer.getInteger("pepperfield.seeds", 0); more++) {
            SimulatedRegion region = playOnce(day, seed + 1000L * more);
            assertTrue(
                    region.leaderChanges() <= 1 + NODES,
                    "seed " + seed + ": leadership began " + region.leaderChanges() + " times");
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void anOldLeaderHasNewFollowersForLong(long seed) {
        play(
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
    void aNewLeaderHasOldFollowersForLong(long seed) {
        Scenario day =
                Scenario.jobs(40, 2).at(50, new CancelNow(4, 0)).at(80, new Pipelines(4, 20));
        for (int more = 0; more <= Integer.getInteger("pepperfield.seeds", 0); more++) {
            SimulatedRegion region = SimulatedRegion.beforeUpgrade(seed + 1000L * more);
            region.play(day);
            region.world.run(30);
            int first = region.leaderIndex();
            region.faults.replace(first, Version.CURRENT, 0.2);
            region.world.run(33);
            if (region.leaderIndex() != first) {
                // Only the new one is there to be elected; the others come back as they were.
                region.faults.crash((first + 1) % NODES, 3);
                region.faults.crash((first + 2) % NODES, 3);
                region.world.run(region.world.now() + 4);
            }
            region.world.run(66);
            assertEquals(first, region.leaderIndex(), "the lead swings");
            region.faults.replace((first + 1) % NODES, Version.CURRENT, 5);
            region.faults.replace((first + 2) % NODES, Version.CURRENT, 5);
            region.world.run(day.endsAt());
            checkEnd(region, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4})
    void processesEndBeforeTheirTurnAndComeBackOld(long seed) {
        play(
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
    void theWayBackLosesNothingWhileNobodyNamesJobsThatItNeeds(long seed) {
        play(
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
    void anOldFollowerNeverTouchesWhatAJobNeeds() {
        SimulatedRegion region = SimulatedRegion.beforeUpgrade(5);
        Scenario day =
                Scenario.jobs(12, 2)
                        .at(20, new Upgrade(10))
                        .at(40, new Pipelines(4, 8))
                        // It knows of no job that is cancelled with another: users must not ask it.
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
        region.play(day);
        region.world.run(day.endsAt());
        checkEnd(region, day.toString());
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16})
    void noRuleBreaksWhateverFailsDuringAnUpgrade(long seed) {
        for (int more = 0; more <= Integer.getInteger("pepperfield.seeds", 0); more++) {
            troubledUpgrade(seed + 1000L * more);
        }
    }

    private static void troubledUpgrade(long seed) {
        SimulatedRegion region = SimulatedRegion.beforeUpgrade(seed);
        region.world.messageLossShare = 0.01;
        region.world.lateDeliveryShare = 0.005;
        region.world.duplicateDeliveryShare = 0.01;
        Scenario day =
                Scenario.jobs(40, 4)
                        .at(30, new Upgrade(60))
                        .at(60, new LargeArrays(2, 150, 2))
                        .at(110, new Pipelines(6, 30))
                        .at(100 + region.world.random.nextInt(60), new StoreLimitsReduction());
        region.play(day);
        for (int i = 0; i < 12; i++) {
            region.world.at(20 + 11 * i, region.faults::injectRandomFault);
        }
        region.world.run(420);
        String what = "seed " + seed;
        assertEquals(List.of(), region.violations, what);
        assertEquals(List.of(), region.unfinishedJobs(), what);
        assertEquals(List.of(), region.unansweredQueries(), what);
        assertEquals(List.of(), region.alteredJobs(), what);
        assertTrue(region.accepted() >= 40, what + " accepted " + region.accepted());
        assertTrue(region.upgraded(), what);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void theLimitsFallWhileRecordsLargerThanThemAreInUse(long seed) {
        Scenario day =
                Scenario.jobs(20, 3)
                        .at(20, new SubmissionFlood(6, 20))
                        .at(24, new LargeArrays(2, 136, 12))
                        .at(26, new Upgrade(12))
                        .at(46, new StoreLimitsReduction())
                        .at(50, new CancelNow(4, 0));
        for (int more = 0; more <= Integer.getInteger("pepperfield.seeds", 0); more++) {
            SimulatedRegion region = playOnce(day, seed + 1000L * more);
            assertTrue(region.refusedForSize() > 0, "nothing was too large, seed " + seed);
            // Two chunks of 68 tasks: what comes after them are parts of a divided record.
            assertTrue(
                    IntStream.range(2, 8)
                            .mapToObj(part -> region.durable("pepperfield/run/run-800001/" + part))
                            .anyMatch(Objects::nonNull),
                    "nothing was divided, seed " + seed);
        }
    }

    /** All jobs of a shared record of the old version begin once more, each with a guard. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void moreTasksBeginAtOnceThanATransactionHasGuards(long seed) {
        double runS = 100;
        Scenario day =
                Scenario.jobs(4, 2)
                        .at(10, new LargeArrays(44, 1, runS))
                        .at(56, new Upgrade(9))
                        .at(74, new StoreLimitsReduction())
                        .at(75, new MachineReboot(MachineSelector.share(1)));
        for (int more = 0; more <= Integer.getInteger("pepperfield.seeds", 0); more++) {
            SimulatedRegion region = SimulatedRegion.beforeUpgrade(seed + 1000L * more);
            region.play(day);
            // A machine may have room for some of them only once the others have ended.
            region.world.run(day.endsAt() + runS);
            checkEnd(region, "seed " + seed);
        }
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void theLimitsFallAmidAnElection(long seed) {
        play(
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
    void theLimitsFallAsAnOutageEnds(long seed) {
        play(
                Scenario.jobs(30, 2)
                        .at(20, new Upgrade(12))
                        .at(24, new LargeArrays(2, 136, 8))
                        .at(44, new StoreOutage(8))
                        .at(52, new StoreLimitsReduction(), new Pipelines(4, 10)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void theLimitsFallWhileBothVersionsServe(long seed) {
        play(
                Scenario.jobs(30, 2)
                        .at(20, new LargeArrays(2, 136, 8))
                        .at(26, new Upgrade(24))
                        .at(36, new StoreLimitsReduction())
                        .at(70, new Pipelines(4, 10)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void renewalsThatAreRefusedForAMomentCostNoLead(long seed) {
        // A grant lasts 0.75 s here and is renewed four times in that time.
        SimulatedRegion region = SimulatedRegion.beforeUpgrade(seed);
        Scenario day =
                Scenario.jobs(20, 2)
                        .at(20, new Upgrade(12))
                        .at(50, new StoreLimitsReduction(), new SubmissionFlood(8, 10))
                        .at(52, new GrantsRefused(0.3))
                        .at(55, new GrantsRefused(0.3));
        region.play(day);
        region.world.run(48);
        int changes = region.leaderChanges();
        region.world.run(day.endsAt());
        assertEquals(changes, region.leaderChanges(), "the lead was lost");
        checkEnd(region, "seed " + seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void renewalsThatAreRefusedForLongCostNoWork(long seed) {
        play(
                Scenario.jobs(20, 2)
                        .at(20, new Upgrade(12))
                        .at(50, new StoreLimitsReduction(), new GrantsRefused(4))
                        .at(51, new Pipelines(3, 6)),
                seed);
    }
}
