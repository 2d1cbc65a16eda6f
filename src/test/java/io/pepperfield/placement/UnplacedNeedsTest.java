package io.pepperfield.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.jobs.JobSpec;
import io.pepperfield.standin.JobSpecBuilder;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What need not be looked for once more in a pass. */
class UnplacedNeedsTest {

    private final UnplacedNeeds needs = new UnplacedNeeds();

    private static PlacementRequest request(JobSpec job, String... avoid) {
        return new PlacementRequest(job, 1, false, 0, Map.of(), Set.of(avoid));
    }

    private static JobSpec job(double cpus) {
        return new JobSpecBuilder().cpus(cpus).build();
    }

    @Test
    void asMuchOrMoreOfTheSameKindIsCovered() {
        needs.add(request(job(4)));
        assertTrue(needs.cover(request(job(4))));
        assertTrue(needs.cover(request(job(5))));
        assertFalse(needs.cover(request(job(3.9))));
        needs.add(request(job(3)));
        assertTrue(needs.cover(request(job(3.9))));
        assertFalse(needs.cover(request(job(2))));
    }

    @Test
    void whatAvoidsMachinesIsCoveredButCoversNothing() {
        needs.add(request(job(1), "host-1"));
        assertFalse(needs.cover(request(job(4))));
        needs.add(request(job(4)));
        assertTrue(needs.cover(request(job(4), "host-1")));
    }

    @Test
    void anotherKindOfMachineIsNot() {
        needs.add(request(job(4)));
        assertFalse(needs.cover(request(new JobSpecBuilder().cpus(4).zone("east").build())));
        PlacementRequest warm = request(job(4));
        warm.warmOnly(true);
        assertFalse(needs.cover(warm));
        needs.clear();
        assertFalse(needs.cover(request(job(4))));
    }
}
