package io.pepperfield.controller;

import io.pepperfield.admission.QueueWaitPredictor;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.jobs.Job;
import io.pepperfield.loop.Loop;
import java.util.Map;
import java.util.Optional;

/** Tells admission which tasks of each team wait, and which are started. */
final class QueuedTaskCounter {

    private final Loop loop;
    private final Map<String, Job> jobs;

    /** Empty where admission is switched off, and before its first count. */
    private Optional<QueueWaitPredictor> predictor = Optional.empty();

    QueuedTaskCounter(Loop loop, Map<String, Job> jobs) {
        this.loop = loop;
        this.jobs = jobs;
    }

    /** Counts all waiting tasks anew. */
    void count(QueueWaitPredictor queueWaits) {
        predictor = Optional.of(queueWaits);
        double now = loop.now();
        queueWaits.beginRecount();
        for (Job job : jobs.values()) {
            if (isQueued(job)) {
                queueWaits.addWaiting(
                        job.spec.team(),
                        job.effectiveSpec().priority(),
                        job.pendingTaskCount(),
                        now - job.readyAt());
            }
        }
        queueWaits.finishRecount(now);
    }

    /** What waits for other jobs, or fails wherever it is tried, tells nothing about the queue. */
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
