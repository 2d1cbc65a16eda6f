package io.pepperfield.lifecycle;

import io.pepperfield.dispatch.Dispatcher;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobCodec;
import io.pepperfield.jobs.PriorityInheritance;
import io.pepperfield.jobs.Status;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Keys;
import java.util.Map;

/**
 * Ends jobs: writes the final state of a job whose tasks are all done, stops the remaining attempts
 * of a job that has ended, and removes the job once none of its attempts may be live. Confined to
 * the event loop.
 */
final class JobCompletion {

    private final Loop loop;
    private final DurableState durable;
    private final Map<String, Job> jobs;
    private final LiveAttempts liveAttempts;
    private final RunRecordStore runRecords;
    private final PriorityInheritance priorityInheritance;
    private final Dispatcher.AttemptControl attemptControl;
    private final Runnable onWorkChanged;

    /**
     * @param jobs jobs by id; finished jobs are removed from it
     * @param onWorkChanged run when the pending tasks or the live attempts have changed
     */
    JobCompletion(
            Loop loop,
            DurableState durable,
            Map<String, Job> jobs,
            LiveAttempts liveAttempts,
            RunRecordStore runRecords,
            PriorityInheritance priorityInheritance,
            Dispatcher.AttemptControl attemptControl,
            Runnable onWorkChanged) {
        this.loop = loop;
        this.durable = durable;
        this.jobs = jobs;
        this.liveAttempts = liveAttempts;
        this.runRecords = runRecords;
        this.priorityInheritance = priorityInheritance;
        this.attemptControl = attemptControl;
        this.onWorkChanged = onWorkChanged;
    }

    /** Whether the job has not ended and all its tasks are done; always false for services. */
    static boolean isAllDone(Job job) {
        return job.finalStatus() == null && !job.spec.isService() && job.allDone();
    }

    /**
     * Writes the final state of a job whose tasks are all done; does nothing for other jobs.
     *
     * @param onDurable run once a final state is durable, written by this call or earlier
     */
    void finishIfAllDone(Job job, Runnable onDurable) {
        if (!isAllDone(job)) {
            return;
        }
        String key = Keys.FINAL_STATE_PREFIX + job.spec.id();
        long doneMs = loop.wallClockMs();
        durable.writer()
                .enqueueOnce(
                        key,
                        FencedWriter.Priority.FINAL_STATE,
                        () -> JobCodec.encodeDone(doneMs),
                        () -> {
                            onDurable.run();
                            jobEnded(job, Status.DONE);
                        },
                        () -> {
                            onDurable.run();
                            jobEnded(job, storedFinalStatus(key));
                        });
    }

    private Status storedFinalStatus(String key) {
        return JobCodec.decodeFinalStatus(durable.replica().find(key).orElseThrow().value());
    }

    /** Handles a job whose final state is durable: stops its remaining attempts. */
    void jobEnded(Job job, Status status) {
        job.finish(status, durable.jobIndex().get(job.spec.id()).lastKnownActiveAt());
        priorityInheritance.remove(job.spec);
        if (status == Status.DONE) {
            runRecords.discardPending(job);
        }
        for (Attempt attempt : liveAttempts.snapshot(job)) {
            attemptControl.stop(attempt, 0);
        }
        removeIfFinished(job);
        onWorkChanged.run();
    }

    /** Removes a job that has ended and has no attempts that may be live. */
    void removeIfFinished(Job job) {
        if (job.finalStatus() != null && !liveAttempts.hasAny(job)) {
            jobs.remove(job.spec.id());
            runRecords.jobFinished(job);
        }
    }
}
