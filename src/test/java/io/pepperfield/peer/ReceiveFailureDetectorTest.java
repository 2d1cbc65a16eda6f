package io.pepperfield.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Locale;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which controllers lose their partition because its heartbeats do not reach them. */
class ReceiveFailureDetectorTest {

    private static final Set<String> FIVE =
            Set.of("worker-0", "worker-1", "worker-2", "worker-3", "worker-4");
    private static final Set<String> FOUR = Set.of("worker-0", "worker-1", "worker-2", "worker-4");

    private static String machine(int number) {
        return String.format(Locale.ROOT, "host-%06d", number);
    }

    /** Heartbeats of 30 machines, each to its partition owner unless that one is unreachable. */
    private static Set<String> sendHeartbeats(
            ReceiveFailureDetector reachability, double from, double until, String unreachable) {
        Set<String> owners = FIVE;
        for (double now = from; now < until; now += 0.5) {
            owners = reachability.eligibleOwners(FIVE, now);
            for (int i = 0; i < 30; i++) {
                String owner = Partitions.owner(machine(i), owners);
                reachability.recordHeartbeat(
                        machine(i), owner, owner.equals(unreachable) ? "worker-4" : owner, now);
            }
        }
        return owners;
    }

    @Test
    void aControllerWithReceiveFailureLosesItsPartitionAndDoesNotOscillate() {
        ReceiveFailureDetector reachability = new ReceiveFailureDetector(2, 12);
        assertEquals(FIVE, sendHeartbeats(reachability, 0, 20, "nobody"));
        assertEquals(
                FIVE,
                sendHeartbeats(reachability, 20, 25, "worker-3"),
                "a period or two may pass without");
        assertEquals(FOUR, sendHeartbeats(reachability, 25, 28, "worker-3"));
        assertEquals(FOUR, sendHeartbeats(reachability, 28, 37, "worker-3"));
        // Tried again after a lease, and again after two: each try costs its workers time.
        int owned = 0;
        for (double now = 37; now < 157; now++) {
            owned +=
                    sendHeartbeats(reachability, now, now + 1, "worker-3").contains("worker-3")
                            ? 1
                            : 0;
        }
        assertTrue(owned > 0 && owned < 30, "owned for " + owned + " of 120 s");
        assertEquals(FIVE, sendHeartbeats(reachability, 157, 300, "nobody"));
    }

    @Test
    void newMachinesThatAreMisroutedAreNoReceiveFailure() {
        ReceiveFailureDetector reachability = new ReceiveFailureDetector(2, 12);
        // Nobody has a machine for long, as when the first ones of a day boot; then each is
        // misrouted
        // for a period and more.
        for (double now = 0; now < 20; now++) {
            reachability.eligibleOwners(FIVE, now);
        }
        assertEquals(FIVE, sendHeartbeats(reachability, 20, 24.5, "worker-3"));
        assertEquals(FIVE, sendHeartbeats(reachability, 24.5, 60, "nobody"));
    }

    @Test
    void whileTheLeaderRefusesAllWorkersThereIsNoReceiveFailure() {
        ReceiveFailureDetector reachability = new ReceiveFailureDetector(2, 12);
        sendHeartbeats(reachability, 0, 20, "nobody");
        sendHeartbeats(reachability, 20, 24, "worker-3");
        for (double now = 24; now < 34; now += 0.5) {
            reachability.resetObservations();
            assertEquals(FIVE, reachability.eligibleOwners(FIVE, now));
        }
        assertEquals(FIVE, sendHeartbeats(reachability, 34, 38, "worker-3"));
        assertEquals(FIVE, sendHeartbeats(reachability, 38, 60, "nobody"));
    }

    @Test
    void aRestartedControllerHasTimeToBeFound() {
        ReceiveFailureDetector reachability = new ReceiveFailureDetector(2, 12);
        sendHeartbeats(reachability, 0, 20, "nobody");
        reachability.eligibleOwners(FOUR, 21);
        // Its workers are where they were, for a period each.
        assertEquals(FIVE, sendHeartbeats(reachability, 30, 35, "worker-3"));
        assertEquals(FIVE, sendHeartbeats(reachability, 35, 80, "nobody"));
    }
}
