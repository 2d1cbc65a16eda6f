package io.pepperfield.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which controller owns the partition that a machine is in. */
class PartitionsTest {

    private static final Set<String> FIVE =
            Set.of("worker-0", "worker-1", "worker-2", "worker-3", "worker-4");
    private static final Set<String> FOUR = Set.of("worker-0", "worker-1", "worker-2", "worker-4");

    private static String machine(int number) {
        return String.format(Locale.ROOT, "host-%06d", number);
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
}
