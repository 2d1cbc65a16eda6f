package io.pepperfield.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.standin.JobSpecBuilder;
import org.junit.jupiter.api.Test;

/** A job that was submitted with a mistake fails on every machine until its user cancels it. */
class BrokenJobTest {

    private final Job job =
            new Job(new JobSpecBuilder().tasks(40).cpus(4).spot(true).chunk(64).build(), 0);

    @Test
    void failuresOnOneMachineAreTheMachines() {
        for (int i = 0; i < 4; i++) {
            assertFalse(job.failed("m1", 10, 2, 60));
        }
        assertEquals(40, job.startable(true));
        assertTrue(job.failedOn().contains("m1"), "the next try goes elsewhere");
    }

    @Test
    void failuresOnSeveralLetOneTaskGoAtATimeAfterGrowingPauses() {
        job.failed("m1", 10, 2, 60);
        assertTrue(job.failed("m2", 10, 2, 60), "said once");
        assertEquals(12, job.notBefore());
        assertEquals(1, job.startable(false));
        assertEquals(0, job.startable(true));
        assertFalse(job.failed("m3", 20, 2, 60));
        assertEquals(24, job.notBefore());
        for (int i = 4; i < 40; i++) {
            job.failed("m" + i, 100, 2, 60);
        }
        assertEquals(160, job.notBefore());
        assertTrue(job.failedOn().size() < 10, "a small site has no other machines left");
    }

    @Test
    void oneCompletedTaskClearsItAndADurableFailureIsRemembered() {
        job.failed("m1", 10, 2, 60);
        job.failed("m2", 10, 2, 60);
        job.succeeded();
        assertEquals(40, job.startable(true));
        assertEquals(0, job.notBefore());
        // After a change of leader.
        job.failedBefore();
        job.failedBefore();
        assertEquals(1, job.startable(false));
    }
}
