package io.pepperfield.placement;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.jobs.JobSpec;
import io.pepperfield.standin.JobSpecBuilder;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which requests are known to be unschedulable without another scan of the fleet. */
class UnschedulableDemandTest {

    private final UnschedulableDemand demand = new UnschedulableDemand();

    private static PlacementRequest request(JobSpec job, String... excludedMachines) {
        return PlacementRequest.builder(job, 1).excludedMachines(Set.of(excludedMachines)).build();
    }

    private static JobSpec job(double cpus) {
        return new JobSpecBuilder().cpus(cpus).build();
    }

    @Test
    void sameOrLargerSizeWithEqualConstraintsIsCovered() {
        demand.add(request(job(4)));
        assertTrue(demand.covers(request(job(4))));
        assertTrue(demand.covers(request(job(5))));
        assertFalse(demand.covers(request(job(3.9))));
        demand.add(request(job(3)));
        assertTrue(demand.covers(request(job(3.9))));
        assertFalse(demand.covers(request(job(2))));
    }

    @Test
    void requestWithExcludedMachinesIsCoveredButCoversNoOther() {
        demand.add(request(job(1), "host-1"));
        assertFalse(demand.covers(request(job(4))));
        demand.add(request(job(4)));
        assertTrue(demand.covers(request(job(4), "host-1")));
    }

    @Test
    void requestWithOtherConstraintsIsNotCovered() {
        demand.add(request(job(4)));
        assertFalse(demand.covers(request(new JobSpecBuilder().cpus(4).zone("east").build())));
        PlacementRequest localityRequired =
                PlacementRequest.builder(job(4), 1).imageLocalityRequired(true).build();
        assertFalse(demand.covers(localityRequired));
        demand.clear();
        assertFalse(demand.covers(request(job(4))));
    }
}
