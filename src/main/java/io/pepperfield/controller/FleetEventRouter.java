package io.pepperfield.controller;

import io.pepperfield.autoscaling.Autoscaler;
import io.pepperfield.cluster.BootTracker;
import io.pepperfield.dispatch.Dispatcher;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Machine;
import io.pepperfield.lifecycle.JobTracker;
import io.pepperfield.loop.LogDuration;
import io.pepperfield.loop.Loop;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Routes events of the leader's fleet to the components that handle them. The fleet is created
 * before these components, so {@link #connect} must be called before the first event.
 */
final class FleetEventRouter implements Fleet.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(FleetEventRouter.class);

    private final Loop loop;
    private final double termStartedAt;
    private JobTracker jobTracker;
    private Dispatcher dispatcher;
    private Autoscaler autoscaler;
    private BootTracker bootTracker;
    private QueuedTaskCounter queuedTaskCounter;

    FleetEventRouter(Loop loop) {
        this.loop = loop;
        this.termStartedAt = loop.now();
    }

    void connect(
            JobTracker jobTracker,
            Dispatcher dispatcher,
            Autoscaler autoscaler,
            BootTracker bootTracker,
            QueuedTaskCounter queuedTaskCounter) {
        this.jobTracker = jobTracker;
        this.dispatcher = dispatcher;
        this.autoscaler = autoscaler;
        this.bootTracker = bootTracker;
        this.queuedTaskCounter = queuedTaskCounter;
    }

    @Override
    public void attemptStarted(Attempt attempt) {
        queuedTaskCounter.attemptStarted(attempt);
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "attempt started: task={} attempt={} instance={} workload={}"
                            + " sinceIntentS={} sinceSubmissionS={}",
                    attempt.taskRef,
                    attempt.number,
                    attempt.machine.name,
                    attempt.job.spec.workload(),
                    LogDuration.roundToTenths(loop.now() - attempt.intendedAt),
                    LogDuration.roundToTenths(loop.now() - attempt.job.readyAt()));
        }
    }

    @Override
    public void attemptCompleted(Attempt attempt, double ranS) {
        if (jobTracker.attemptCompleted(attempt) && ranS > 0) {
            autoscaler.taskFinished(attempt.job, ranS);
        }
    }

    @Override
    public void attemptTerminated(Attempt attempt, Heartbeat.Cause cause) {
        jobTracker.attemptTerminated(attempt, cause);
    }

    @Override
    public void machineJoined(Machine machine) {
        // Logged at debug level because every failover logs this line for each machine of the
        // fleet.
        LOG.debug(
                "first heartbeat of machine: instance={} type={} zone={} sinceRentalS={}",
                machine.name,
                machine.type(),
                machine.zone(),
                Math.round(loop.now() - machine.rentedAt()));
        // A machine rented before this leadership term may have been ready for a long time, so its
        // boot time is unknown.
        if (!machine.ready() && machine.rentedAt() >= termStartedAt) {
            bootTracker.recordBoot(machine, loop.now());
        }
        dispatcher.requestPass();
    }
}
