package io.pepperfield.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.http.Json;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Whose partition a machine is in, and which messages of which life of a process count. */
class PartitionsTest {

    private static final Set<String> FIVE =
            Set.of("worker-0", "worker-1", "worker-2", "worker-3", "worker-4");
    private static final Set<String> FOUR = Set.of("worker-0", "worker-1", "worker-2", "worker-4");

    private static String machine(int number) {
        return String.format("host-%06d", number);
    }

    @Test
    void onlyTheMachinesOfAnEndedControllerMove() {
        Map<String, Integer> sizes = new HashMap<>();
        for (int i = 0; i < 1000; i++) {
            String before = Partitions.owner(machine(i), FIVE);
            sizes.merge(before, 1, Integer::sum);
            String after = Partitions.owner(machine(i), FOUR);
            assertEquals(before.equals("worker-3"), !before.equals(after), machine(i));
        }
        // Even enough that no partition outgrows its sockets.
        sizes.forEach(
                (node, size) ->
                        assertTrue(
                                size > 1000 / 5 * 2 / 3 && size < 1000 / 5 * 4 / 3,
                                node + " has " + size));
        assertEquals("", Partitions.owner(machine(1), List.of()));
    }

    @Test
    void whatIsNoMessageOfThisVersionIsRefusedWhole() {
        String good =
                "{\"node\":\"worker-1\",\"life\":\"a\",\"seq\":1,\"epoch\":7,\"beats\":[[\"host-1\",1,2,3,7]],\"more\":{}}";
        assertEquals(
                1,
                PeerMessages.readBatch(Json.read(good.getBytes(StandardCharsets.UTF_8)))
                        .orElseThrow()
                        .heartbeats()
                        .size());
        for (String bad :
                List.of(
                        "",
                        "{}",
                        "[]",
                        good.replace("\"beats\"", "\"reports\""),
                        good.replace("1,2,3,7", "1,2"),
                        good.replace("\"seq\":1", "\"seq\":\"1\""),
                        good.substring(0, 40))) {
            assertEquals(
                    Optional.empty(),
                    PeerMessages.readBatch(Json.read(bad.getBytes(StandardCharsets.UTF_8))),
                    bad);
        }
    }

    @Test
    void aReportInAnotherEncodingDoesNotSpoilTheOthers() {
        String text = "{\"host\":\"host-1\"}";
        assertEquals(
                text, PeerMessages.embedded(text.getBytes(StandardCharsets.UTF_16BE)).rawValue());
        assertEquals(text, PeerMessages.embedded(text.getBytes(StandardCharsets.UTF_8)).rawValue());
    }

    /**
     * Reports of 30 machines, each at its partition's owner unless that one is out of their reach.
     */
    private static Set<String> reports(
            Reachability reachability, double from, double until, String cut) {
        Set<String> owners = FIVE;
        for (double now = from; now < until; now += 0.5) {
            owners = reachability.owners(FIVE, now);
            for (int i = 0; i < 30; i++) {
                String owner = Partitions.owner(machine(i), owners);
                reachability.recordHeartbeat(
                        machine(i), owner, owner.equals(cut) ? "worker-4" : owner, now);
            }
        }
        return owners;
    }

    @Test
    void aControllerThatItsWorkersDoNotReachLosesItsPartAndDoesNotSwing() {
        Reachability reachability = new Reachability(2, 12);
        assertEquals(FIVE, reports(reachability, 0, 20, "nobody"));
        assertEquals(
                FIVE,
                reports(reachability, 20, 25, "worker-3"),
                "a period or two may pass without");
        assertEquals(FOUR, reports(reachability, 25, 28, "worker-3"));
        assertEquals(FOUR, reports(reachability, 28, 37, "worker-3"));
        // Tried again after a lease, and again after two: each try costs its workers time.
        int owned = 0;
        for (double now = 37; now < 157; now++) {
            owned += reports(reachability, now, now + 1, "worker-3").contains("worker-3") ? 1 : 0;
        }
        assertTrue(owned > 0 && owned < 30, "owned for " + owned + " of 120 s");
        assertEquals(FIVE, reports(reachability, 157, 300, "nobody"));
    }

    @Test
    void newMachinesThatTurnUpAnywhereMakeNobodyDeaf() {
        Reachability reachability = new Reachability(2, 12);
        // Nobody has a machine for long, as when the first ones of a day boot; then each is a stray
        // for a period and more.
        for (double now = 0; now < 20; now++) {
            reachability.owners(FIVE, now);
        }
        assertEquals(FIVE, reports(reachability, 20, 24.5, "worker-3"));
        assertEquals(FIVE, reports(reachability, 24.5, 60, "nobody"));
    }

    @Test
    void whileTheLeaderRefusesAllWorkersNobodyIsDeaf() {
        Reachability reachability = new Reachability(2, 12);
        reports(reachability, 0, 20, "nobody");
        reports(reachability, 20, 24, "worker-3");
        for (double now = 24; now < 34; now += 0.5) {
            reachability.restartObservation();
            assertEquals(FIVE, reachability.owners(FIVE, now));
        }
        assertEquals(FIVE, reports(reachability, 34, 38, "worker-3"));
        assertEquals(FIVE, reports(reachability, 38, 60, "nobody"));
    }

    @Test
    void aControllerThatIsBackHasTimeToBeFound() {
        Reachability reachability = new Reachability(2, 12);
        reports(reachability, 0, 20, "nobody");
        reachability.owners(FOUR, 21);
        // Its workers are where they were, for a period each.
        assertEquals(FIVE, reports(reachability, 30, 35, "worker-3"));
        assertEquals(FIVE, reports(reachability, 35, 80, "nobody"));
    }

    @Test
    void aLateMessageOfAnEarlierProcessIsNotTheNewOnes() {
        Membership members = new Membership("worker-0", 2);
        assertTrue(members.recordMessage("worker-1", "first", 7, 10));
        assertFalse(members.recordMessage("worker-1", "first", 7, 10.1), "a copy");
        assertTrue(
                members.recordMessage("worker-1", "second", 1, 10.2),
                "back within a fraction of a second");
        assertFalse(members.recordMessage("worker-1", "first", 8, 30), "held back until now");
        assertEquals(Set.of("worker-0"), members.liveMembers(30));
        assertTrue(members.recordMessage("worker-1", "second", 2, 31));
        assertEquals(Set.of("worker-0", "worker-1"), members.liveMembers(32));
        assertEquals(Set.of("worker-0"), members.liveMembers(33.5));
    }
}
