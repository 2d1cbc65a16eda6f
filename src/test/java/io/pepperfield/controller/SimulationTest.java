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
 * Three controllers in a simulated region that checks every protocol rule as events occur. {@code
 * -Dpepperfield.seeds=500} runs the random faults with 500 additional seeds instead of 3.
 */
class SimulationTest {

    /** Creates a region to which jobs are submitted at even intervals after the tenth second. */
    private static SimulatedRegion region(long seed, int jobs, double everyS) {
        SimulatedRegion region = new SimulatedRegion(seed);
        for (int i = 1; i <= jobs; i++) {
            int number = i;
            region.world.at(10 + everyS * i, () -> region.jobMix.submit(number));
        }
        return region;
    }

    @Test
    void everyJobFinishesWithoutFailures() {
        SimulatedRegion region = region(1, 12, 3);
        region.world.at(30, region::queryUnknownJob);
        region.world.run(220);
        assertEquals(List.of(), region.violations);
        assertEquals(12, region.acceptedJobCount());
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(0, region.runningTaskCount());
    }

    @Test
    void storeOutageLosesNoRunningTasks() {
        SimulatedRegion region = region(2, 6, 1);
        region.world.at(24, () -> region.faults.storeOutage(34));
        region.world.run(150);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
    }

    @Test
    void machineThatCannotReceiveGetsNoTasksAndIsReturned() {
        SimulatedRegion region = region(3, 20, 3);
        region.world.run(45);
        WorkerStandIn failedReceiver =
                region.machines().stream().filter(WorkerStandIn::isBusy).findFirst().orElseThrow();
        failedReceiver.failReceiving(400);
        region.world.run(45 + 3 * SimulatedRegion.LEASE_S);
        assertFalse(
                region.machines().contains(failedReceiver),
                "machine that cannot receive is still rented");
        region.world.run(300);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
    }

    @Test
    void leaderIsolatedWithItsWorkersReleasesThemWithinTheirLeases() {
        SimulatedRegion region = region(4, 12, 2);
        region.world.run(40);
        assertTrue(region.runningTaskCount() > 8, "running tasks " + region.runningTaskCount());
        int lostBefore = region.lostTasks();
        String leader = region.leaderName();
        int isolated = region.leaderIndex();
        region.networkPartitions.isolateFromStoreAndPeers(isolated, 70);
        region.world.run(50);
        // The isolated controller cannot answer users: its health check fails, which removes it
        // from the load balancer, and it closes the connections that are still open.
        assertEquals(503, region.directRequests.request(isolated, "GET", "/up").status());
        assertTrue(
                region.directRequests
                        .request(isolated, "GET", "/api/jobs/run-999998")
                        .closeConnection());
        region.world.run(68);
        assertNotEquals(leader, region.leaderName());
        // No lease expired, and no machine was released for heartbeats that were missing only
        // because the old leader was isolated.
        assertEquals(lostBefore, region.lostTasks());
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @Test
    void pausedLeaderDoesNotActOnStaleState() {
        SimulatedRegion region = region(7, 16, 2);
        region.world.run(40);
        for (int i = 0; i < 6; i++) {
            // Shorter than a lease, so that workers may still send heartbeats to this controller,
            // and longer than its leadership grant.
            region.world.run(40 + 9 * i);
            region.faults.pause(region.leaderIndex(), region.world.now() + 1.5 + 0.5 * i);
        }
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @Test
    void newLeaderKeepsMachinesOfAZonePartitionedBeforeItsElection() {
        SimulatedRegion region = region(8, 12, 2);
        region.world.run(40);
        int leader = region.leaderIndex();
        region.networkPartitions.isolateZone(
                "east", (leader + 1) % 3, 40 + 2.5 * SimulatedRegion.LEASE_S);
        // The next leader is elected while half of the fleet is unreachable, after those machines
        // had booted.
        region.world.at(41, () -> region.faults.crash(leader, 5));
        region.world.run(41);
        // Listed only now, because the previous leader may have returned surplus machines before.
        List<String> zoneMachines =
                region.machines().stream()
                        .filter(w -> w.zone.equals("east"))
                        .map(w -> w.name)
                        .toList();
        assertTrue(zoneMachines.size() >= 3, "machines in zone east " + zoneMachines);
        region.world.run(44);
        assertNotEquals("node-" + leader, region.leaderName());
        region.world.run(40 + 2.5 * SimulatedRegion.LEASE_S);
        assertTrue(
                region.machines().stream().map(w -> w.name).toList().containsAll(zoneMachines),
                "some of these machines were returned: " + zoneMachines);
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @Test
    void controllerInsideAPartitionedZoneServesItsWorkersForALimitedTime() {
        SimulatedRegion region = region(9, 0, 1);
        region.world.run(10);
        int inside = (region.leaderIndex() + 1) % 3;
        for (int i = 0; i < 100; i++) {
            region.directRequests.sendHeartbeat(inside, i % 2 == 0 ? "east" : "west");
        }
        double cutAt = region.world.now();
        region.networkPartitions.isolateZone("east", inside, cutAt + 40);
        region.world.run(cutAt + 4);
        // The controller appears to be isolated without its zone, so it rejects the worker,
        // which then uses another controller.
        assertEquals(503, region.directRequests.sendHeartbeat(inside, "east").status());
        for (int i = 0; i < 12; i++) {
            region.directRequests.sendHeartbeat(inside, "east");
        }
        assertEquals(200, region.directRequests.sendHeartbeat(inside, "east").status());
        // It stops serving its workers once it may have missed cancellations.
        region.world.run(cutAt + SimulatedRegion.CANCELLATION_DEADLINE_S - SimulatedRegion.LEASE_S);
        assertEquals(503, region.directRequests.sendHeartbeat(inside, "east").status());
    }

    @Test
    void zonePartitionIsDetectedWhenOnlyOwnZoneHeartbeatsArrive() {
        ZonePartitionDetector detector = new ZonePartitionDetector();
        for (int i = 0; i < 200; i++) {
            detector.recordHeartbeat(i % 2 == 0);
            assertFalse(detector.isPartitioned());
        }
        for (int i = 0; i < 12; i++) {
            detector.recordHeartbeat(true);
        }
        assertTrue(detector.isPartitioned());
        detector.recordHeartbeat(false);
        assertFalse(detector.isPartitioned());
        ZonePartitionDetector singleZone = new ZonePartitionDetector();
        for (int i = 0; i < 500; i++) {
            singleZone.recordHeartbeat(true);
        }
        // Without machines in other zones, the absence of their heartbeats indicates nothing.
        assertFalse(singleZone.isPartitioned());
    }

    @Test
    void cancelledTasksEndInTimeWithoutALeader() {
        SimulatedRegion region = region(6, 12, 2);
        region.world.run(36);
        assertTrue(region.runningTaskCount() > 4, "running tasks " + region.runningTaskCount());
        // The followers have read the cancellations but send no stop orders; their heartbeat
        // replies must not keep the tasks running.
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
    void controllersRestartingDuringElectionsBreakNoInvariant() {
        SimulatedRegion region = region(5, 16, 2);
        region.world.duplicateDeliveryShare = 0.05;
        for (int i = 0; i < 30; i++) {
            int node = i % 3;
            region.world.at(20 + 0.9 * i, () -> region.faults.crash(node, 0.1));
            // All controllers crash at once, 0.3 s after a single crash and during its recovery.
            region.world.at(20.3 + 4.5 * (i / 5), () -> region.faults.crash((node + 1) % 3, 0.15));
        }
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.reusedRentalRequestIds());
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @Test
    void manySmallJobsAndALargeArrayCauseFewStoredMutations() {
        SimulatedRegion region = region(21, 8, 3);
        region.world.run(30);
        int mutationsBefore = region.storedMutations();
        for (int i = 0; i < 160; i++) {
            int number = 1000 + i;
            region.world.at(30 + i / 16.0, () -> region.jobMix.submitGuests(number, 1, 6));
        }
        region.world.at(31, () -> region.jobMix.submitGuests(2000, 400, 2));
        region.world.run(41);
        // Each submission is one mutation. A separate mutation for each start intent would double
        // the count, and one for each completion would add as many again.
        assertTrue(
                region.storedMutations() - mutationsBefore < 330,
                "stored mutations " + (region.storedMutations() - mutationsBefore));
        region.world.run(160);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @Test
    void jobsThatAlwaysFailDelayNoOthersAndCauseNoRentals() {
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
        int rentalsBefore = region.rentalCount();
        int startsBefore = region.taskStarts();
        region.world.run(100);
        // Each failing job retries one task at a time, and its retry delay has grown by then.
        assertTrue(
                region.taskStarts() - startsBefore <= 5 * 5,
                "task starts " + (region.taskStarts() - startsBefore));
        assertEquals(
                rentalsBefore,
                region.rentalCount(),
                "rented machines for failing jobs alone, or returned healthy machines as faulty");
        region.world.run(200);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(0, region.runningTaskCount());
    }

    @Test
    void slowBootsAreAwaitedAndFailedBootsAreReplaced() {
        SimulatedRegion slow = new SimulatedRegion(23);
        slow.faults.slowBoots(4, 0, 60);
        slow.world.at(10, () -> slow.jobMix.submitGuests(1, 64, 20));
        SimulatedRegion normal = new SimulatedRegion(23);
        normal.world.at(10, () -> normal.jobMix.submitGuests(1, 64, 20));
        slow.world.run(140);
        normal.world.run(140);
        assertEquals(List.of(), slow.unfinishedJobs());
        assertTrue(
                slow.rentalCount() <= normal.rentalCount() + 1,
                "rented a second fleet: "
                        + slow.rentalCount()
                        + " machines, with normal boots "
                        + normal.rentalCount());
        SimulatedRegion failing = new SimulatedRegion(24);
        failing.faults.slowBoots(1, 1, 14);
        failing.world.at(10, () -> failing.jobMix.submitGuests(1, 64, 5));
        failing.world.run(60);
        assertEquals(List.of(), failing.unfinishedJobs());
    }

    @Test
    void leaderUnreachableByItsWorkersCedesLeadershipOnce() {
        SimulatedRegion region = region(25, 16, 2);
        region.world.run(40);
        // A controller can be judged by its workers only while its partition has machines.
        while (region.partitionSize(region.leaderIndex()) < 2 && region.world.now() < 100) {
            region.faults.crash(region.leaderIndex(), 0.5);
            region.world.run(region.world.now() + 4);
        }
        int leader = region.leaderIndex();
        double cutAt = region.world.now();
        assertTrue(
                region.partitionSize(leader) >= 2,
                "machines in the partition " + region.partitionSize(leader));
        region.world.partition(
                "host-", "10.0.0." + (leader + 1), cutAt + 10 * SimulatedRegion.LEASE_S);
        region.world.run(cutAt + 5 * SimulatedRegion.LEASE_S);
        assertNotEquals("node-" + leader, region.leaderName());
        int nextLeader = region.leaderIndex();
        // In this region a lease is hardly longer than the time after which a worker tries another
        // controller, so some leases expire before the partition is reassigned, none afterwards.
        int lostBefore = region.lostTasks();
        region.world.run(cutAt + 10 * SimulatedRegion.LEASE_S);
        assertEquals(nextLeader, region.leaderIndex(), "leadership moved more than once");
        assertEquals(lostBefore, region.lostTasks());
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
    }

    @Test
    void queriesForUnknownJobsLeaveCapacityForKnownOnes() {
        SimulatedRegion region = region(27, 4, 1);
        region.world.run(30);
        // 1,000 sockets allow 125 concurrent queries, 62 of them for unknown jobs.
        assertEquals(List.of(62, 38), region.directRequests.floodWithUnknownJobQueries(1, 100));
        assertEquals(200, region.directRequests.request(1, "GET", "/api/jobs/run-000001").status());
    }

    @Test
    void allQueriesAreAnsweredAtEightTimesTheRateWhileALeaderIsPaused() {
        SimulatedRegion region = region(26, 20, 1);
        region.world.run(35);
        int paused = region.leaderIndex();
        region.faults.pause(paused, 35 + 5 * SimulatedRegion.LEASE_S);
        region.queryMoreOften(35 + 6 * SimulatedRegion.LEASE_S);
        region.world.run(35 + 5 * SimulatedRegion.LEASE_S - 1);
        assertNotEquals("node-" + paused, region.leaderName());
        region.world.run(250);
        assertEquals(List.of(), region.violations);
        assertEquals(List.of(), region.unfinishedJobs());
        assertEquals(List.of(), region.unansweredQueries());
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22})
    void invariantsHoldUnderRandomFaults(long seed) {
        runWithRandomFaults(seed);
    }

    @Test
    void invariantsHoldUnderRandomFaultsForAdditionalSeeds() {
        for (long seed = 1000; seed < 1000 + Integer.getInteger("pepperfield.seeds", 3); seed++) {
            runWithRandomFaults(seed);
        }
    }

    private static void runWithRandomFaults(long seed) {
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
