package io.pepperfield.lifecycle;

import io.pepperfield.dispatch.Dispatcher;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.fleet.Machine;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.loop.Loop;
import io.pepperfield.store.FencedWriter;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts and stops attempts. A run order is sent only after its intent is durable. Confined to the
 * event loop.
 */
final class AttemptStarter implements Dispatcher.AttemptControl {

    private static final Logger LOG = LoggerFactory.getLogger(AttemptStarter.class);

    private final Loop loop;
    private final Fleet fleet;
    private final LiveAttempts liveAttempts;
    private final RunRecordStore runRecords;
    private final DirectOrderSender directOrders;
    private boolean termEnded;

    AttemptStarter(
            Loop loop,
            Fleet fleet,
            LiveAttempts liveAttempts,
            RunRecordStore runRecords,
            DirectOrderSender directOrders) {
        this.loop = loop;
        this.fleet = fleet;
        this.liveAttempts = liveAttempts;
        this.runRecords = runRecords;
        this.directOrders = directOrders;
    }

    /** Ends the term: intents that become durable after this call start nothing. */
    void endTerm() {
        termEnded = true;
    }

    @Override
    public void start(Job job, int task, Machine machine) {
        Attempt attempt =
                fleet.addIntendedAttempt(job, task, job.startAttempt(task), machine, loop.now());
        liveAttempts.add(attempt);
        runRecords.markChanged(job, task, intentPriority(job), () -> sendRunOrder(attempt));
    }

    private static FencedWriter.Priority intentPriority(Job job) {
        return job.effectiveSpec().priority() == JobSpec.Priority.BEST_EFFORT
                ? FencedWriter.Priority.BATCHED
                : FencedWriter.Priority.INTENT;
    }

    private void sendRunOrder(Attempt attempt) {
        if (!termEnded && fleet.markIntentDurable(attempt)) {
            directOrders.enqueue(attempt);
        }
    }

    @Override
    public void stop(Attempt attempt, double gracePeriodS) {
        LOG.debug(
                "stop requested: task={} attempt={} instance={} gracePeriodS={}",
                attempt.taskRef,
                attempt.number,
                attempt.machine.name,
                gracePeriodS);
        fleet.requestStop(attempt, gracePeriodS);
        directOrders.enqueue(attempt);
    }
}
