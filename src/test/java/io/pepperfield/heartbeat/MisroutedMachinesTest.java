package io.pepperfield.heartbeat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.peer.Partitions;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Redirection of machines in other partitions, with a heartbeat interval of 2 s. */
class MisroutedMachinesTest {

    private static final Set<String> OWNERS = Set.of("node-0", "node-1");
    private static final String MACHINE = "host-000001";
    private static final String OWNER = Partitions.owner(MACHINE, OWNERS);
    private static final String OTHER_CONTROLLER = OWNER.equals("node-0") ? "node-1" : "node-0";

    @Test
    void misroutedMachineIsRedirectedToItsOwnerAfterAHeartbeatInterval() {
        MisroutedMachines misrouted = new MisroutedMachines(OTHER_CONTROLLER, 2);
        assertEquals(Optional.empty(), misrouted.redirectTarget(MACHINE, OWNERS, 10));
        assertEquals(Optional.empty(), misrouted.redirectTarget(MACHINE, OWNERS, 11.9));
        assertEquals(Optional.of(OWNER), misrouted.redirectTarget(MACHINE, OWNERS, 12));
    }

    @Test
    void machineIsNeverRedirectedByItsOwner() {
        MisroutedMachines misrouted = new MisroutedMachines(OWNER, 2);
        assertEquals(Optional.empty(), misrouted.redirectTarget(MACHINE, OWNERS, 10));
        assertEquals(Optional.empty(), misrouted.redirectTarget(MACHINE, OWNERS, 20));
    }

    @Test
    void intervalRestartsForAnEvictedMachine() {
        MisroutedMachines misrouted = new MisroutedMachines(OTHER_CONTROLLER, 2);
        misrouted.redirectTarget(MACHINE, OWNERS, 10);
        misrouted.evictBefore(11);
        assertEquals(Optional.empty(), misrouted.redirectTarget(MACHINE, OWNERS, 13));
    }
}
