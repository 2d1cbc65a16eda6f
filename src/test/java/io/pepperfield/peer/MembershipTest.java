package io.pepperfield.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which messages of which incarnation of a controller count. */
class MembershipTest {

    @Test
    void aLateMessageOfAnEarlierIncarnationIsIgnored() {
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
