package io.pepperfield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.jobs.JobSpec.Priority;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How long a team's queue is predicted to take. */
class QueueWaitPredictorTest {

    private final QueueWaitPredictor queues = new QueueWaitPredictor(0);
    private double now;

    /** A second in which so many tasks of the lowest priority begin and so many wait. */
    private void second(int started, int waiting, double oldestS) {
        for (int i = 0; i < started; i++) {
            queues.recordStart("guests", Priority.BEST_EFFORT);
        }
        queues.beginRecount();
        queues.addWaiting("guests", Priority.BEST_EFFORT, waiting, oldestS);
        queues.finishRecount(++now);
    }

    @Test
    void predictedWaitIsTheQueueLengthDividedByTheStartRate() {
        for (int i = 0; i < 120; i++) {
            second(5, 600, 100);
        }
        List<QueueWait> waits = queues.waitsOfAtLeast(60);
        assertEquals(1, waits.size());
        assertEquals(120, waits.get(0).waitS(), 1);
    }

    @Test
    void predictedWaitIsBoundedByTheOldestWaitBeforeAnyTaskStarts() {
        second(0, 5000, 10);
        assertEquals(40, queues.waitsOfAtLeast(1).get(0).waitS());
        assertEquals(List.of(), queues.waitsOfAtLeast(60));
    }

    @Test
    void priorityWaitsForHigherPrioritiesAndNotForLowerOnes() {
        for (int i = 0; i < 60; i++) {
            second(5, 600, 100);
        }
        queues.beginRecount();
        queues.addWaiting("guests", Priority.BEST_EFFORT, 600, 100);
        queues.addWaiting("guests", Priority.URGENT, 1, 0.1);
        queues.finishRecount(++now);
        assertEquals(
                List.of(Priority.BEST_EFFORT),
                queues.waitsOfAtLeast(1).stream().map(QueueWait::priority).toList());
    }

    @Test
    void emptiedQueueIsNotReported() {
        second(0, 10, 100);
        queues.beginRecount();
        queues.finishRecount(++now);
        assertEquals(List.of(), queues.waitsOfAtLeast(0));
    }
}
