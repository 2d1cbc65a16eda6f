package io.pepperfield.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;

/** Duplicates and messages of earlier incarnations do not count as signs of life. */
class MembershipTest {

    @Test
    void lateMessageOfAnEarlierIncarnationIsIgnored() {
        Membership membership = new Membership("worker-0", 2);
        assertTrue(membership.recordMessage("worker-1", "first", 7, 10));
        assertFalse(
                membership.recordMessage("worker-1", "first", 7, 10.1),
                "duplicate of the message before");
        assertTrue(
                membership.recordMessage("worker-1", "second", 1, 10.2),
                "process restarted within a fraction of a second");
        assertFalse(
                membership.recordMessage("worker-1", "first", 8, 30),
                "delayed message of the earlier process");
        assertEquals(Set.of("worker-0"), membership.liveMembers(30));
        assertTrue(membership.recordMessage("worker-1", "second", 2, 31));
        assertEquals(Set.of("worker-0", "worker-1"), membership.liveMembers(32));
        assertEquals(Set.of("worker-0"), membership.liveMembers(33.5));
    }
}
