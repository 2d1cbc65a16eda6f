package io.pepperfield.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Assignment of machines to the controllers that own their partitions. */
class PartitionsTest {

    private static final Set<String> FIVE_CONTROLLERS =
            Set.of("worker-0", "worker-1", "worker-2", "worker-3", "worker-4");
    private static final Set<String> WITHOUT_WORKER_3 =
            Set.of("worker-0", "worker-1", "worker-2", "worker-4");

    private static String machine(int number) {
        return String.format(Locale.ROOT, "host-%06d", number);
    }

    @Test
    void onlyTheMachinesOfALeavingControllerMove() {
        Map<String, Integer> sizes = new HashMap<>();
        for (int i = 0; i < 1000; i++) {
            String before = Partitions.owner(machine(i), FIVE_CONTROLLERS);
            sizes.merge(before, 1, Integer::sum);
            String after = Partitions.owner(machine(i), WITHOUT_WORKER_3);
            assertEquals(before.equals("worker-3"), !before.equals(after), machine(i));
        }
        // Even enough that no controller runs out of sockets for its partition.
        sizes.forEach(
                (node, size) ->
                        assertTrue(
                                size > 1000 / 5 * 2 / 3 && size < 1000 / 5 * 4 / 3,
                                node + " has " + size));
        assertEquals("", Partitions.owner(machine(1), List.of()));
    }
}
