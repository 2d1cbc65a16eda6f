package io.pepperfield.controller;

import io.pepperfield.admission.QueueWaitPredictor;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.jobs.Job;
import io.pepperfield.loop.Loop;
import java.util.Map;
import java.util.Optional;

/** Reports the queued tasks of each team, and their starts, to admission. */
final class QueuedTaskCounter {

    private final Loop loop;
    private final Map<String, Job> jobs;

    /** Empty if admission is disabled, and before the first count. */
    private Optional<QueueWaitPredictor> predictor = Optional.empty();

    QueuedTaskCounter(Loop loop, Map<String, Job> jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    /** Recounts all queued tasks. */
    void count(QueueWaitPredictor queueWaitPredictor) {
        predictor = Optional.of(queueWaitPredictor);
        double now = loop.now();
        queueWaitPredictor.beginRecount();
        for (Job job : jobs.values()) {
            if (isQueued(job)) {
                queueWaitPredictor.addWaiting(
                        job.spec.team(),
                        job.effectiveSpec().priority(),
                        job.pendingTaskCount(),
                        now - job.readyAt());
            }
        }
        queueWaitPredictor.finishRecount(now);
    }

    /**
     * Returns whether the job waits for resources. Jobs that wait for their dependencies, or whose
     * tasks fail on every machine, are excluded: their waiting time does not depend on the length
     * of the queue.
     */
    private static boolean isQueued(Job job) {
        return job.finalStatus() == null
                && !job.isAwaitingDependencies()
                && !job.isCrashLooping()
                && job.pendingTaskCount() > 0;
    }

    void attemptStarted(Attempt attempt) {
        if (predictor.isPresent()) {
            predictor
                    .get()
                    .recordStart(attempt.job.spec.team(), attempt.job.effectiveSpec().priority());
        }
    }
}
