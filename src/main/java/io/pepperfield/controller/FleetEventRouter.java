package io.pepperfield.controller;

import io.pepperfield.autoscaling.Autoscaler;
import io.pepperfield.cluster.BootTracker;
import io.pepperfield.dispatch.Dispatcher;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Machine;
import io.pepperfield.lifecycle.JobTracker;
import io.pepperfield.loop.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Hands each event in the leader's fleet to those whom it concerns. The fleet is created before
 * them: {@link #connect} completes the router before the first event.
 */
final class FleetEventRouter implements Fleet.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(FleetEventRouter.class);

    private final Loop loop;
    private final double leaderSince;
    private JobTracker jobs;
    private Dispatcher dispatcher;
    private Autoscaler autoscaler;
    private BootTracker bootTracker;
    private QueuedTaskCounter queueCounter;

    FleetEventRouter(Loop loop) {
        this.loop = loop;
        this.leaderSince = loop.now();
    }

    void connect(
            JobTracker jobTracker,
            Dispatcher itsDispatcher,
            Autoscaler itsAutoscaler,
            BootTracker boots,
            QueuedTaskCounter counter) {
        jobs = jobTracker;
        dispatcher = itsDispatcher;
        autoscaler = itsAutoscaler;
        bootTracker = boots;
        queueCounter = counter;
    }

    @Override
    public void attemptStarted(Attempt attempt) {
        queueCounter.attemptStarted(attempt);
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "attempt started: task={} attempt={} instance={} workload={}"
                            + " sinceIntentS={} sinceSubmissionS={}",
                    attempt.taskRef,
                    attempt.number,
                    attempt.machine.name,
                    attempt.job.spec.workload(),
                    tenths(loop.now() - attempt.intendedAt),
                    tenths(loop.now() - attempt.job.readyAt()));
        }
    }

    private static double tenths(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }

    @Override
    public void attemptCompleted(Attempt attempt, double ranS) {
        if (jobs.attemptCompleted(attempt) && ranS > 0) {
            autoscaler.taskFinished(attempt.job, ranS);
        }
    }

    @Override
    public void attemptGone(Attempt attempt, Heartbeat.Cause cause) {
        jobs.attemptGone(attempt, cause);
    }

    @Override
    public void machineAppeared(Machine machine) {
        // At debug level: a line for each machine of a large fleet would fill the log at every
        // failover.
        LOG.debug(
                "first heartbeat of machine: instance={} type={} zone={} sinceRentalS={}",
                machine.name,
                machine.type(),
                machine.zone(),
                Math.round(loop.now() - machine.rentedAt()));
        // One from before this leader may have been ready for long already.
        if (!machine.ready() && machine.rentedAt() >= leaderSince) {
            bootTracker.machineBooted(machine, loop.now());
        }
        dispatcher.requestPass();
    }
}
