package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.health.ZonePartitionDetector;
import io.pepperfield.standin.SimulatedRegion;
import io.pepperfield.standin.WorkerStandIn;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Three controllers in a simulated region, with every rule of the protocol checked as things
 * happen. Longer with {@code -Dpepperfield.seeds=500}.
 */
class SimulationTest {

    /** A region in which that many jobs come from the tenth second on. */
    private static SimulatedRegion region(long seed, int jobs, double everyS) {
        SimulatedRegion region = new SimulatedRegion(seed);
        for (int i = 1; i <= jobs; i++) {
            int number = i;
            region.world.at(10 + everyS * i, () -> region.jobMix.submit(number));
        }
        return region;
    }

    @Test
    void aQuietDayEndsWithEveryJobOver() {
        SimulatedRegion region = region(1, 12, 3);
        region.world.at(30, region::queryUnknownJob);
        region.world.run(220);
        assertEquals(List.of(), region.violations);
        assertEquals(12, region.acceptedJobCount());
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(0, region.runningTaskCount());
    }

    @Test
    void anOutageOfTheStateServiceCostsNoRunningWork() {
        SimulatedRegion region = region(2, 6, 1);
        region.world.at(24, () -> region.faults.storeOutage(34));
        region.world.run(150);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
    }

    @Test
    void aMachineThatDoesNotHearGetsNoWorkAndIsReturned() {
        SimulatedRegion region = region(3, 20, 3);
        region.world.run(45);
        WorkerStandIn deaf =
                region.machines().stream().filter(WorkerStandIn::isBusy).findFirst().orElseThrow();
        deaf.failReceiving(400);
        region.world.run(45 + 3 * SimulatedRegion.LEASE_S);
        assertFalse(region.machines().contains(deaf), "still rented");
        region.world.run(300);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
    }

    @Test
    void aLeaderCutFromAllButItsWorkersLetsThemGoWithinTheirLeases() {
        SimulatedRegion region = region(4, 12, 2);
        region.world.run(40);
        assertTrue(region.runningTaskCount() > 8, "tasks " + region.runningTaskCount());
        int lostBefore = region.lostTasks();
        String leader = region.leaderName();
        int alone = region.leaderIndex();
        region.networkPartitions.isolateFromStoreAndPeers(alone, 70);
        region.world.run(50);
        // It can answer nobody: it leaves the load balancer and ends the connections that were
        // opened before.
        assertEquals(503, region.directRequests.request(alone, "GET", "/up").status());
        assertTrue(
                region.directRequests
                        .request(alone, "GET", "/api/jobs/run-999998")
                        .closeConnection());
        region.world.run(68);
        assertNotEquals(leader, region.leaderName());
        // No lease ran out, and no machine was given up for a silence that was the old leader's
        // doing.
        assertEquals(lostBefore, region.lostTasks());
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @Test
    void aLeaderThatStoodStillActsOnNothingItKnewBefore() {
        SimulatedRegion region = region(7, 16, 2);
        region.world.run(40);
        for (int i = 0; i < 6; i++) {
            // Shorter than a lease, so that workers may still turn to it; longer than its grant.
            region.world.run(40 + 9 * i);
            region.faults.pause(region.leaderIndex(), region.world.now() + 1.5 + 0.5 * i);
        }
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @Test
    void aZoneOutOfHearingIsNotReturnedByALeaderThatNeverHeardIt() {
        SimulatedRegion region = region(8, 12, 2);
        region.world.run(40);
        int leader = region.leaderIndex();
        region.networkPartitions.isolateZone(
                "east", (leader + 1) % 3, 40 + 2.5 * SimulatedRegion.LEASE_S);
        // The next leader begins while half of the fleet is silent, after those machines had
        // booted.
        region.world.at(41, () -> region.faults.crash(leader, 5));
        region.world.run(41);
        // Now, since the earlier leader may still have returned a surplus of its own.
        List<String> zone =
                region.machines().stream()
                        .filter(w -> w.zone.equals("east"))
                        .map(w -> w.name)
                        .toList();
        assertTrue(zone.size() >= 3, "machines " + zone);
        region.world.run(44);
        assertNotEquals("node-" + leader, region.leaderName());
        region.world.run(40 + 2.5 * SimulatedRegion.LEASE_S);
        assertTrue(
                region.machines().stream().map(w -> w.name).toList().containsAll(zone),
                "returned some of " + zone);
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @Test
    void theOneControllerInsideACutGoesOnForItsZone() {
        SimulatedRegion region = region(9, 0, 1);
        region.world.run(10);
        int inside = (region.leaderIndex() + 1) % 3;
        for (int i = 0; i < 100; i++) {
            region.directRequests.sendHeartbeat(inside, i % 2 == 0 ? "east" : "west");
        }
        double cut = region.world.now();
        region.networkPartitions.isolateZone("east", inside, cut + 40);
        region.world.run(cut + 4);
        // Alone as far as it knows: others are to take the worker.
        assertEquals(503, region.directRequests.sendHeartbeat(inside, "east").status());
        for (int i = 0; i < 12; i++) {
            region.directRequests.sendHeartbeat(inside, "east");
        }
        assertEquals(200, region.directRequests.sendHeartbeat(inside, "east").status());
        // But not beyond what it knows of cancellations.
        region.world.run(cut + SimulatedRegion.CANCELLATION_DEADLINE_S - SimulatedRegion.LEASE_S);
        assertEquals(503, region.directRequests.sendHeartbeat(inside, "east").status());
    }

    @Test
    void aZonesOwnReportsAloneTellThatItIsCutOff() {
        ZonePartitionDetector watch = new ZonePartitionDetector();
        for (int i = 0; i < 200; i++) {
            watch.recordHeartbeat(i % 2 == 0);
            assertFalse(watch.isPartitioned());
        }
        for (int i = 0; i < 12; i++) {
            watch.recordHeartbeat(true);
        }
        assertTrue(watch.isPartitioned());
        watch.recordHeartbeat(false);
        assertFalse(watch.isPartitioned());
        ZonePartitionDetector only = new ZonePartitionDetector();
        for (int i = 0; i < 500; i++) {
            only.recordHeartbeat(true);
        }
        // Where there are no others, their silence says nothing.
        assertFalse(only.isPartitioned());
    }

    @Test
    void cancelledTasksEndInTimeThoughNobodyLeads() {
        SimulatedRegion region = region(6, 12, 2);
        region.world.run(36);
        assertTrue(region.runningTaskCount() > 4, "tasks " + region.runningTaskCount());
        // The others know of the cancellations, but give no stops; their answers must not keep the
        // tasks alive.
        region.faults.preventElection(36 + 3 * SimulatedRegion.CANCELLATION_DEADLINE_S);
        region.cancelAll();
        region.world.run(36 + 2 * SimulatedRegion.CANCELLATION_DEADLINE_S);
        assertEquals(List.of(), region.violations);
        assertEquals(0, region.runningTaskCount());
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
    }

    @Test
    void processesThatAreBackAtOnceInMidElectionLeadNobodyAstray() {
        SimulatedRegion region = region(5, 16, 2);
        region.world.duplicateDeliveryShare = 0.05;
        for (int i = 0; i < 30; i++) {
            int node = i % 3;
            region.world.at(20 + 0.9 * i, () -> region.faults.crash(node, 0.1));
            // The whole lot at once, in the middle of what the crash before has set off.
            region.world.at(20.3 + 4.5 * (i / 5), () -> region.faults.crash((node + 1) % 3, 0.15));
        }
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.reusedRentalRequestIds());
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @Test
    void aSwarmAndALargeArrayOfGuestsAreServedFromFewChanges() {
        SimulatedRegion region = region(21, 8, 3);
        region.world.run(30);
        int before = region.storedMutations();
        for (int i = 0; i < 160; i++) {
            int number = 1000 + i;
            region.world.at(30 + i / 16.0, () -> region.jobMix.submitGuests(number, 1, 6));
        }
        region.world.at(31, () -> region.jobMix.submitGuests(2000, 400, 2));
        region.world.run(41);
        // The submissions alone are one each; intents of their own would be as many again, and
        // completions too.
        assertTrue(
                region.storedMutations() - before < 330,
                "changes " + (region.storedMutations() - before));
        region.world.run(160);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @Test
    void jobsThatFailEverywhereHoldUpNobodyAndCostNoMachine() {
        SimulatedRegion region = region(22, 0, 3);
        for (int i = 1; i <= 8; i++) {
            int number = i;
            region.world.at(10 + 2 * i, () -> region.jobMix.submitGuests(number, 20, 4));
        }
        for (int i = 0; i < 5; i++) {
            int number = 500 + i;
            region.world.at(12 + i, () -> region.jobMix.submitFailing(number, 110));
        }
        region.world.run(60);
        int rentals = region.rentalCount();
        int starts = region.taskStarts();
        region.world.run(100);
        // One task at a time, after pauses that have grown by now.
        assertTrue(
                region.taskStarts() - starts <= 5 * 5, "starts " + (region.taskStarts() - starts));
        assertEquals(
                rentals,
                region.rentalCount(),
                "rented although only what fails was waiting, or returned as faulty what is not");
        region.world.run(200);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(0, region.runningTaskCount());
    }

    @Test
    void machinesThatComeLateAreWaitedForAndThoseThatNeverComeReplaced() {
        SimulatedRegion late = new SimulatedRegion(23);
        late.faults.slowBoots(4, 0, 60);
        late.world.at(10, () -> late.jobMix.submitGuests(1, 64, 20));
        SimulatedRegion usual = new SimulatedRegion(23);
        usual.world.at(10, () -> usual.jobMix.submitGuests(1, 64, 20));
        late.world.run(140);
        usual.world.run(140);
        assertEquals(List.of(), late.unfinishedJobs());
        assertTrue(
                late.rentalCount() <= usual.rentalCount() + 1,
                "a second fleet: "
                        + late.rentalCount()
                        + " machines, usually "
                        + usual.rentalCount());
        SimulatedRegion never = new SimulatedRegion(24);
        never.faults.slowBoots(1, 1, 14);
        never.world.at(10, () -> never.jobMix.submitGuests(1, 64, 5));
        never.world.run(60);
        assertEquals(List.of(), never.unfinishedJobs());
    }

    @Test
    void aLeaderThatItsWorkersDoNotReachGivesTheLeadAwayOnce() {
        SimulatedRegion region = region(25, 16, 2);
        region.world.run(40);
        // What workers do tells of a controller only while some of them are its own.
        while (region.partitionSize(region.leaderIndex()) < 2 && region.world.now() < 100) {
            region.faults.crash(region.leaderIndex(), 0.5);
            region.world.run(region.world.now() + 4);
        }
        int leader = region.leaderIndex();
        double cut = region.world.now();
        assertTrue(region.partitionSize(leader) >= 2, "machines " + region.partitionSize(leader));
        region.world.partition(
                "host-", "10.0.0." + (leader + 1), cut + 10 * SimulatedRegion.LEASE_S);
        region.world.run(cut + 5 * SimulatedRegion.LEASE_S);
        assertNotEquals("node-" + leader, region.leaderName());
        int next = region.leaderIndex();
        // In this region a lease is hardly longer than a worker's patience: some run out until the
        // partition has moved, none later.
        int lost = region.lostTasks();
        region.world.run(cut + 10 * SimulatedRegion.LEASE_S);
        assertEquals(next, region.leaderIndex(), "given to and fro");
        assertEquals(lost, region.lostTasks());
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
    }

    @Test
    void questionsAboutUnknownJobsLeaveRoomForTheOthers() {
        SimulatedRegion region = region(27, 4, 1);
        region.world.run(30);
        // 1,000 sockets: 125 questions at once, of which 62 about jobs that nobody submitted.
        assertEquals(List.of(62, 38), region.directRequests.floodWithUnknownJobQueries(1, 100));
        assertEquals(200, region.directRequests.request(1, "GET", "/api/jobs/run-000001").status());
    }

    @Test
    void manyTimesAsManyQuestionsWhileAControllerIsSilentAreAllAnswered() {
        SimulatedRegion region = region(26, 20, 1);
        region.world.run(35);
        int silent = region.leaderIndex();
        region.faults.pause(silent, 35 + 5 * SimulatedRegion.LEASE_S);
        region.queryMoreOften(35 + 6 * SimulatedRegion.LEASE_S);
        region.world.run(35 + 5 * SimulatedRegion.LEASE_S - 1);
        assertNotEquals("node-" + silent, region.leaderName());
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
    void noRuleBreaksWhateverFails(long seed) {
        run(seed);
    }

    @Test
    void noRuleBreaksOverManySeedsIfAskedFor() {
        for (long seed = 1000; seed < 1000 + Integer.getInteger("pepperfield.seeds", 3); seed++) {
            run(seed);
        }
    }

    private static void run(long seed) {
        SimulatedRegion region = new SimulatedRegion(seed);
        region.world.messageLossShare = 0.01;
        region.world.lateDeliveryShare = 0.005;
        region.world.duplicateDeliveryShare = 0.01;
        for (int i = 1; i <= 40; i++) {
            int number = i;
            region.world.at(5 + 4 * i, () -> region.jobMix.submit(number));
        }
        for (int i = 1; i <= 24; i++) {
            int number = 100 + i;
            region.world.at(60 + i / 6.0, () -> region.jobMix.submitGuests(number, 1, 5));
        }
        region.world.at(70, () -> region.jobMix.submitGuests(200, 150, 2));
        region.world.at(30, () -> region.jobMix.submitFailing(201, 150));
        region.world.at(80, () -> region.jobMix.submitFailing(202, 180));
        for (int i = 0; i < 14; i++) {
            region.world.at(20 + 11 * i, region.faults::injectRandomFault);
            region.world.at(25 + 11 * i, region::queryUnknownJob);
        }
        region.world.run(420);
        assertEquals(List.of(), region.violations, "seed " + seed);
        assertTrue(
                region.acceptedJobCount() >= 35,
                "seed " + seed + " accepted " + region.acceptedJobCount());
        assertEquals(List.of(), region.unfinishedJobs(), "seed " + seed);
        assertEquals(List.of(), region.unansweredQueries(), "seed " + seed);
    }
}
