package io.pepperfield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.jobs.JobSpec.Priority;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the predicted wait of a team's queue. */
class QueueWaitPredictorTest {

    private final QueueWaitPredictor predictor = new QueueWaitPredictor(0);
    private double now;

    /** Simulates a second with the given starts and pending tasks of the lowest priority. */
    private void simulateSecond(int started, int waiting, double oldestS) {
        for (int i = 0; i < started; i++) {
            predictor.recordStart("guests", Priority.BEST_EFFORT);
        }
        predictor.beginRecount();
        predictor.addWaiting("guests", Priority.BEST_EFFORT, waiting, oldestS);
        predictor.finishRecount(++now);
    }

    @Test
    void predictedWaitIsTheQueueLengthDividedByTheStartRate() {
        for (int i = 0; i < 120; i++) {
            simulateSecond(5, 600, 100);
        }
        List<QueueWait> waits = predictor.waitsOfAtLeast(60);
        assertEquals(1, waits.size());
        assertEquals(120, waits.get(0).waitS(), 1);
    }

    @Test
    void predictedWaitIsBoundedByTheOldestWaitBeforeAnyTaskStarts() {
        simulateSecond(0, 5000, 10);
        assertEquals(40, predictor.waitsOfAtLeast(1).get(0).waitS());
        assertEquals(List.of(), predictor.waitsOfAtLeast(60));
    }

    @Test
    void priorityWaitsForHigherPrioritiesAndNotForLowerOnes() {
        for (int i = 0; i < 60; i++) {
            simulateSecond(5, 600, 100);
        }
        predictor.beginRecount();
        predictor.addWaiting("guests", Priority.BEST_EFFORT, 600, 100);
        predictor.addWaiting("guests", Priority.URGENT, 1, 0.1);
        predictor.finishRecount(++now);
        assertEquals(
                List.of(Priority.BEST_EFFORT),
                predictor.waitsOfAtLeast(1).stream().map(QueueWait::priority).toList());
    }

    @Test
    void emptiedQueueIsNotReported() {
        simulateSecond(0, 10, 100);
        predictor.beginRecount();
        predictor.finishRecount(++now);
        assertEquals(List.of(), predictor.waitsOfAtLeast(0));
    }
}
