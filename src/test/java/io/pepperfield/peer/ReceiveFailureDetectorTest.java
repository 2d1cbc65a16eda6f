package io.pepperfield.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Withdrawal of partitions from controllers that their heartbeats do not reach. */
class ReceiveFailureDetectorTest {

    private static final Set<String> FIVE_CONTROLLERS =
            Set.of("worker-0", "worker-1", "worker-2", "worker-3", "worker-4");
    private static final Set<String> WITHOUT_WORKER_3 =
            Set.of("worker-0", "worker-1", "worker-2", "worker-4");

    private static String machine(int number) {
        return String.format(Locale.ROOT, "host-%06d", number);
    }

    /**
     * Records heartbeats of 30 machines, each at its partition owner, or at worker-4 if the owner
     * is unreachable.
     */
    private static Set<String> sendHeartbeats(
            ReceiveFailureDetector detector, double from, double until, String unreachable) {
        Set<String> owners = FIVE_CONTROLLERS;
        for (double now = from; now < until; now += 0.5) {
            owners = detector.eligibleOwners(FIVE_CONTROLLERS, now);
            for (int i = 0; i < 30; i++) {
                String owner = Partitions.owner(machine(i), owners);
                detector.recordHeartbeat(
                        machine(i), owner, owner.equals(unreachable) ? "worker-4" : owner, now);
            }
        }
        return owners;
    }

    @Test
    void controllerWithReceiveFailureLosesItsPartitionWithoutOscillating() {
        ReceiveFailureDetector detector = new ReceiveFailureDetector(2, 12);
        assertEquals(FIVE_CONTROLLERS, sendHeartbeats(detector, 0, 20, "nobody"));
        assertEquals(
                FIVE_CONTROLLERS,
                sendHeartbeats(detector, 20, 25, "worker-3"),
                "no failure within two heartbeat intervals");
        assertEquals(WITHOUT_WORKER_3, sendHeartbeats(detector, 25, 28, "worker-3"));
        assertEquals(WITHOUT_WORKER_3, sendHeartbeats(detector, 28, 37, "worker-3"));
        // The controller is given a partition again after one lease, then after two: each attempt
        // costs its workers time.
        int secondsOwned = 0;
        for (double now = 37; now < 157; now++) {
            secondsOwned +=
                    sendHeartbeats(detector, now, now + 1, "worker-3").contains("worker-3") ? 1 : 0;
        }
        assertTrue(
                secondsOwned > 0 && secondsOwned < 30, "owned for " + secondsOwned + " of 120 s");
        assertEquals(FIVE_CONTROLLERS, sendHeartbeats(detector, 157, 300, "nobody"));
    }

    @Test
    void misroutedNewMachinesAreNoReceiveFailure() {
        ReceiveFailureDetector detector = new ReceiveFailureDetector(2, 12);
        // No controller has had a machine for long, as before the first machines of a day boot;
        // then each new machine is misrouted for more than a heartbeat interval.
        for (double now = 0; now < 20; now++) {
            detector.eligibleOwners(FIVE_CONTROLLERS, now);
        }
        assertEquals(FIVE_CONTROLLERS, sendHeartbeats(detector, 20, 24.5, "worker-3"));
        assertEquals(FIVE_CONTROLLERS, sendHeartbeats(detector, 24.5, 60, "nobody"));
    }

    @Test
    void noReceiveFailureIsDetectedWhileTheLeaderRefusesAllWorkers() {
        ReceiveFailureDetector detector = new ReceiveFailureDetector(2, 12);
        sendHeartbeats(detector, 0, 20, "nobody");
        sendHeartbeats(detector, 20, 24, "worker-3");
        for (double now = 24; now < 34; now += 0.5) {
            detector.resetObservations();
            assertEquals(FIVE_CONTROLLERS, detector.eligibleOwners(FIVE_CONTROLLERS, now));
        }
        assertEquals(FIVE_CONTROLLERS, sendHeartbeats(detector, 34, 38, "worker-3"));
        assertEquals(FIVE_CONTROLLERS, sendHeartbeats(detector, 38, 60, "nobody"));
    }

    @Test
    void restartedControllerHasTimeToBeDiscoveredByItsWorkers() {
        ReceiveFailureDetector detector = new ReceiveFailureDetector(2, 12);
        sendHeartbeats(detector, 0, 20, "nobody");
        detector.eligibleOwners(WITHOUT_WORKER_3, 21);
        // Its workers remain at their previous controllers for a heartbeat interval each.
        assertEquals(FIVE_CONTROLLERS, sendHeartbeats(detector, 30, 35, "worker-3"));
        assertEquals(FIVE_CONTROLLERS, sendHeartbeats(detector, 35, 80, "nobody"));
    }
}
