package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.standin.Fault.CancelAtEnd;
import io.pepperfield.standin.Fault.CancelNow;
import io.pepperfield.standin.Fault.ControllerCrash;
import io.pepperfield.standin.Fault.ControllerPartition;
import io.pepperfield.standin.Fault.ControllerPause;
import io.pepperfield.standin.Fault.ControllerSelector;
import io.pepperfield.standin.Fault.DelayedOrders;
import io.pepperfield.standin.Fault.DelayedWrites;
import io.pepperfield.standin.Fault.FastBoots;
import io.pepperfield.standin.Fault.InvalidRequests;
import io.pepperfield.standin.Fault.LeaderCrashes;
import io.pepperfield.standin.Fault.MachineHang;
import io.pepperfield.standin.Fault.MachineLoss;
import io.pepperfield.standin.Fault.MachinePartition;
import io.pepperfield.standin.Fault.MachineReboot;
import io.pepperfield.standin.Fault.MachineReceiveFailure;
import io.pepperfield.standin.Fault.MachineSelector;
import io.pepperfield.standin.Fault.MachineSendFailure;
import io.pepperfield.standin.Fault.NetworkLatency;
import io.pepperfield.standin.Fault.Pipelines;
import io.pepperfield.standin.Fault.QueryFlood;
import io.pepperfield.standin.Fault.ReadAfterWriteChecks;
import io.pepperfield.standin.Fault.ReplayedHeartbeats;
import io.pepperfield.standin.Fault.Side;
import io.pepperfield.standin.Fault.StoreLatency;
import io.pepperfield.standin.Fault.StoreOutage;
import io.pepperfield.standin.Fault.StorePartition;
import io.pepperfield.standin.Fault.SubmissionFlood;
import io.pepperfield.standin.Fault.Way;
import io.pepperfield.standin.Fault.ZonePartition;
import io.pepperfield.standin.Scenario;
import io.pepperfield.standin.SimulatedRegion;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Days with concurrent failures, in the simulated region. Of more seeds each with {@code
 * -Dpepperfield.seeds=20}.
 */
class ConcurrentFailuresTest {

    private static void play(Scenario scenario, long seed) {
        for (int more = 0; more <= Integer.getInteger("pepperfield.seeds", 0); more++) {
            playOnce(scenario, seed + 1000L * more);
        }
    }

    private static void playOnce(Scenario scenario, long seed) {
        SimulatedRegion region = new SimulatedRegion(seed);
        region.play(scenario);
        region.world.run(scenario.endsAt());
        String day = "seed " + seed + " of " + scenario;
        assertEquals(List.of(), region.violations, day);
        assertEquals(List.of(), region.unfinishedJobs(), day);
        assertEquals(List.of(), region.unansweredQueries(), day);
        assertEquals(List.of(), region.leftoverJobs(), day);
        assertEquals(List.of(), region.reusedRentalNames(), day);
    }

    /**
     * The old leader hears of no cancellation any more, while its workers go on reporting to it.
     */
    @ParameterizedTest
    @CsvSource({"1, 0.5", "2, 1", "3, 2"})
    void theStateServiceRefusesTheLeaderAndThenEverybodyWhileUsersCancel(long seed, double apartS) {
        play(
                Scenario.jobs(20, 2)
                        .at(
                                40,
                                new StorePartition(
                                        ControllerSelector.LEADER, Way.REFUSE, apartS + 1))
                        .at(40.1, new CancelNow(6, 0))
                        .at(
                                40 + apartS,
                                new StoreOutage(1.5 * SimulatedRegion.CANCELLATION_DEADLINE_S)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void oneTaskJobsComeFourASecondAndAQuarterIsCancelled(long seed) {
        play(Scenario.jobs(6, 4).at(20, new SubmissionFlood(4, 60)), seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void transactionsWithoutAnAnswerAreCarriedOutAfterNewerOnes(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(20, new DelayedWrites(0.2, 40, false))
                        .at(35, new CancelNow(4, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void answersToTransactionsAreLostWhileUsersLookClosely(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(10, new ReadAfterWriteChecks(60))
                        .at(15, new DelayedWrites(0.2, 40, true))
                        .at(35, new CancelNow(4, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void leadersChangeTenTimesInTwoMinutesAndInAnOutage(long seed) {
        play(
                Scenario.jobs(40, 3).at(30, new LeaderCrashes(10, 120)).at(70, new StoreOutage(15)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aZoneWithWorkersAndAControllerIsCutOffForLongerThanALease(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(
                                35,
                                new ZonePartition(
                                        "east",
                                        ControllerSelector.afterLeader(1),
                                        2 * SimulatedRegion.LEASE_S))
                        .at(37, new CancelNow(4, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aZoneWithTheLeaderIsCutOffForLongerThanALease(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(
                                35,
                                new ZonePartition(
                                        "west",
                                        ControllerSelector.LEADER,
                                        2 * SimulatedRegion.LEASE_S))
                        .at(37, new CancelNow(4, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void allControllersAreAwayForLongerThanALease(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(35, new CancelNow(4, 0))
                        .at(
                                35.2,
                                new ControllerCrash(
                                        ControllerSelector.ALL, 1.5 * SimulatedRegion.LEASE_S)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void newMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds(long seed) {
        play(
                Scenario.jobs(30, 1)
                        .at(9, new FastBoots(60), new DelayedWrites(0.3, 40, false))
                        .at(14, new ControllerCrash(ControllerSelector.LEADER, 3))
                        .at(30, new ControllerCrash(ControllerSelector.LEADER, 0.2)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void theStateServiceAnswersSlowlyWhileUsersCancelAndAsk(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(25, new StoreLatency(0.5, 40), new QueryFlood(40))
                        .at(35, new CancelNow(4, 0))
                        .at(50, new CancelNow(4, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void theStateServiceRefusesTheLeaderForLongAndThenEverybodyWhileUsersAsk(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(
                                30,
                                new QueryFlood(60),
                                new StorePartition(ControllerSelector.LEADER, Way.REFUSE, 1))
                        .at(30.2, new CancelNow(3, 0))
                        .at(36, new StorePartition(ControllerSelector.LEADER, Way.REFUSE, 8))
                        .at(37, new CancelNow(3, 0))
                        .at(42, new StoreOutage(1.5 * SimulatedRegion.CANCELLATION_DEADLINE_S)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void anOldReportReachesEveryControllerJustAsANewLeaderBegins(long seed) {
        play(
                Scenario.jobs(30, 2)
                        .at(20, new ReplayedHeartbeats(0.3, 60, true))
                        .at(35, new ControllerCrash(ControllerSelector.LEADER, 5))
                        .at(50, new MachineReboot(MachineSelector.count(2)))
                        .at(55, new ControllerCrash(ControllerSelector.LEADER, 0.2)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void thereIsMoreWorkThanRoomOverSlowLinks(long seed) {
        play(
                Scenario.jobs(60, 0.5)
                        .at(10, new NetworkLatency(0.15, 50))
                        .at(20, new SubmissionFlood(4, 20))
                        .at(30, new CancelNow(6, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aLeaderIsCutFromStateServiceAndPeersWhileJobsAreCancelledThroughTheNextOne(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(
                                35,
                                new ControllerPartition(
                                        ControllerSelector.LEADER,
                                        Set.of(Side.STATE, Side.PEERS),
                                        Way.HOLD,
                                        2 * SimulatedRegion.CANCELLATION_DEADLINE_S))
                        .at(38, new CancelNow(4, 0))
                        .at(45, new CancelNow(4, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void controllersHandOverAndBackAllEndAndOneIsBackWithinASecond(long seed) {
        play(
                Scenario.jobs(30, 2)
                        .at(25, new LeaderCrashes(4, 16))
                        .at(
                                45,
                                new ControllerCrash(ControllerSelector.node(0), 0.3),
                                new ControllerCrash(ControllerSelector.node(1), 15),
                                new ControllerCrash(ControllerSelector.node(2), 15))
                        .at(46, new CancelNow(3, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void teamsAreAtTheirLimitWhileCancelledTasksAreOutOfReachAndTheLeaderChanges(long seed) {
        play(
                Scenario.jobs(42, 0.6)
                        .at(
                                30,
                                new MachinePartition(
                                        MachineSelector.share(0.4), 1.5 * SimulatedRegion.LEASE_S))
                        .at(30.5, new CancelNow(8, 2 * SimulatedRegion.LEASE_S))
                        .at(31, new ControllerCrash(ControllerSelector.LEADER, 2)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void teamsAreAtTheirLimitWhileSomeMachinesCannotBeAskedAndTheLeaderChanges(long seed) {
        play(
                Scenario.jobs(42, 0.6)
                        .at(
                                30,
                                new ControllerCrash(ControllerSelector.LEADER, 3),
                                new MachinePartition(
                                        MachineSelector.count(4), 2 * SimulatedRegion.LEASE_S))
                        .at(32, new CancelNow(6, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void usersReadAfterWritesAtAllNodesAndSomeCancelAtOnce(long seed) {
        play(
                Scenario.jobs(30, 2)
                        .at(8, new ReadAfterWriteChecks(70))
                        .at(35, new CancelNow(5, 0))
                        .at(40, new ControllerCrash(ControllerSelector.LEADER, 0.3)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void tasksOfSmallJobsEndFarApartAcrossChangesOfLeader(long seed) {
        play(Scenario.jobs(36, 2).at(25, new LeaderCrashes(6, 60)), seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void workersReachNoControllerWhileDirectCommandsReachThem(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(
                                30,
                                new MachineSendFailure(
                                        MachineSelector.share(0.5), 2 * SimulatedRegion.LEASE_S))
                        .at(32, new CancelNow(4, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aReportIsHeldBackUntilANewLeaderHasActed(long seed) {
        play(
                Scenario.jobs(30, 2)
                        .at(25, new ReplayedHeartbeats(0.4, 30, false))
                        .at(35, new ControllerCrash(ControllerSelector.LEADER, 3))
                        .at(48, new ControllerCrash(ControllerSelector.LEADER, 3)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void oldReportsArriveAfterNewerOnesOfLaterSessionsAndAttempts(long seed) {
        play(
                Scenario.jobs(30, 2)
                        .at(20, new ReplayedHeartbeats(0.5, 50, false))
                        .at(
                                30,
                                new MachineReceiveFailure(
                                        MachineSelector.share(0.4), 1.5 * SimulatedRegion.LEASE_S))
                        .at(50, new MachineReboot(MachineSelector.count(3)))
                        .at(52, new CancelNow(4, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void commandsAreHeldUpAndMachinesGoOn(long seed) {
        play(
                Scenario.jobs(30, 2)
                        .at(20, new DelayedOrders(MachineSelector.share(1), 4, 30))
                        .at(30, new MachineHang(MachineSelector.share(0.4), 4))
                        .at(31, new CancelNow(5, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void jobsBoundToAZoneLoseTheirMachines(long seed) {
        play(
                Scenario.jobs(30, 2)
                        .at(35, new MachineLoss(MachineSelector.zone("east")))
                        .at(55, new MachineLoss(MachineSelector.zone("west"))),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aLeaderEndsWhileMachinesCannotBeReachedOrDoNotHear(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(
                                30,
                                new MachinePartition(
                                        MachineSelector.count(3), 1.5 * SimulatedRegion.LEASE_S))
                        .at(
                                31,
                                new MachineReceiveFailure(
                                        MachineSelector.count(3), SimulatedRegion.LEASE_S))
                        .at(32, new ControllerCrash(ControllerSelector.LEADER, 4))
                        .at(33, new CancelNow(4, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void jobsAreCancelledWhileAControllersWorkChangesHands(long seed) {
        play(
                Scenario.jobs(30, 2)
                        .at(30, new ControllerCrash(ControllerSelector.afterLeader(1), 10))
                        .at(30.5, new CancelNow(4, 0))
                        .at(45, new ControllerPause(ControllerSelector.afterLeader(2), 8))
                        .at(46, new CancelNow(4, 0))
                        .at(53.2, new CancelNow(3, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void cancellationsAndQuestionsMeetTheEndOfTheLastTask(long seed) {
        play(
                Scenario.jobs(40, 1.5)
                        .at(10, new CancelAtEnd(0.5, 70), new ReadAfterWriteChecks(70)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void aRunOrderIsHeldForLongerThanACancellationMayTake(long seed) {
        play(
                Scenario.jobs(30, 1)
                        .at(
                                15,
                                new DelayedOrders(
                                        MachineSelector.share(0.6),
                                        1.2 * SimulatedRegion.CANCELLATION_DEADLINE_S,
                                        15))
                        .at(20, new CancelNow(6, 0))
                        .at(20.5, new StoreOutage(1.5 * SimulatedRegion.CANCELLATION_DEADLINE_S))
                        .at(
                                21,
                                new ControllerCrash(
                                        ControllerSelector.LEADER,
                                        2 * SimulatedRegion.CANCELLATION_DEADLINE_S)),
                seed);
    }

    /**
     * Nothing tells a machine that hangs to stop: it has to be returned, or its lease to end and
     * its worker to go on.
     */
    @ParameterizedTest
    @CsvSource({"1, 3", "2, 3", "3, 3", "1, 8", "2, 8", "3, 8", "6001, 6", "7002, 6"})
    void jobsAreCancelledWhoseMachinesHang(long seed, int jobs) {
        play(
                Scenario.jobs(30, 1)
                        .at(
                                30,
                                new CancelNow(
                                        jobs, 1.25 * SimulatedRegion.CANCELLATION_DEADLINE_S)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void mostMachinesHangForLongerThanACancellationMayTake(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(
                                35,
                                new MachineHang(
                                        MachineSelector.share(0.7),
                                        1.5 * SimulatedRegion.CANCELLATION_DEADLINE_S))
                        .at(35.5, new CancelNow(6, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void machinesAreDeafWhileJobsAreCancelledAndTheStateServiceAndTheLeaderEnd(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(
                                33,
                                new MachineReceiveFailure(
                                        MachineSelector.share(1), 0.6 * SimulatedRegion.LEASE_S))
                        .at(34, new CancelNow(6, 0))
                        .at(
                                36,
                                new StoreOutage(1.5 * SimulatedRegion.CANCELLATION_DEADLINE_S),
                                new ControllerCrash(ControllerSelector.LEADER, 5)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void invalidRequestsChangeNothing(long seed) {
        play(
                Scenario.jobs(24, 2)
                        .at(9, new InvalidRequests(60))
                        .at(30, new ControllerCrash(ControllerSelector.LEADER, 1))
                        .at(40, new StoreOutage(5)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void pipelinesAreServedInTheirOrder(long seed) {
        play(Scenario.jobs(8, 4).at(10, new Pipelines(12, 40)), seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void pipelinesMeetLeadersThatChangeLateWritesAndAnOutage(long seed) {
        play(
                Scenario.jobs(12, 4)
                        .at(10, new Pipelines(15, 60), new DelayedWrites(0.15, 60, false))
                        .at(30, new LeaderCrashes(5, 40))
                        .at(45, new StoreOutage(12))
                        .at(50, new CancelNow(4, 0)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void pipelinesAreCancelledWhileUsersLookCloselyAndTheLeaderIsRefused(long seed) {
        play(
                Scenario.jobs(12, 4)
                        .at(10, new Pipelines(15, 50), new ReadAfterWriteChecks(60))
                        .at(25, new CancelAtEnd(0.3, 40))
                        .at(35, new StorePartition(ControllerSelector.LEADER, Way.REFUSE, 2))
                        .at(35.1, new CancelNow(6, 0))
                        .at(36, new StoreOutage(1.5 * SimulatedRegion.CANCELLATION_DEADLINE_S)),
                seed);
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void pipelinesMeetMachinesThatAreDeafMuteOrHangAndAllControllersEnd(long seed) {
        play(
                Scenario.jobs(8, 4)
                        .at(10, new Pipelines(15, 50), new ReplayedHeartbeats(0.2, 50, false))
                        .at(25, new MachineReceiveFailure(MachineSelector.share(0.3), 8))
                        .at(30, new MachineSendFailure(MachineSelector.count(2), 10))
                        .at(35, new CancelNow(4, 10))
                        .at(40, new ControllerCrash(ControllerSelector.ALL, 4)),
                seed);
    }
}
