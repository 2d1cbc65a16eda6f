package io.pepperfield.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.jobs.JobSpec;
import io.pepperfield.standin.JobSpecBuilder;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** What need not be looked for once more in a pass. */
class UnschedulableDemandTest {

    private final UnschedulableDemand demand = new UnschedulableDemand();

    private static PlacementRequest request(JobSpec job, String... avoid) {
        return PlacementRequest.builder(job, 1).excludedMachines(Set.of(avoid)).build();
    }

    private static JobSpec job(double cpus) {
        return new JobSpecBuilder().cpus(cpus).build();
    }

    @Test
    void asMuchOrMoreOfTheSameKindIsCovered() {
        demand.add(request(job(4)));
        assertTrue(demand.covers(request(job(4))));
        assertTrue(demand.covers(request(job(5))));
        assertFalse(demand.covers(request(job(3.9))));
        demand.add(request(job(3)));
        assertTrue(demand.covers(request(job(3.9))));
        assertFalse(demand.covers(request(job(2))));
    }

    @Test
    void whatAvoidsMachinesIsCoveredButCoversNothing() {
        demand.add(request(job(1), "host-1"));
        assertFalse(demand.covers(request(job(4))));
        demand.add(request(job(4)));
        assertTrue(demand.covers(request(job(4), "host-1")));
    }

    @Test
    void anotherKindOfMachineIsNot() {
        demand.add(request(job(4)));
        assertFalse(demand.covers(request(new JobSpecBuilder().cpus(4).zone("east").build())));
        PlacementRequest warm =
                PlacementRequest.builder(job(4), 1).imageLocalityRequired(true).build();
        assertFalse(demand.covers(warm));
        demand.clear();
        assertFalse(demand.covers(request(job(4))));
    }
}
