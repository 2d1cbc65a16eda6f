package io.pepperfield.node;

import io.pepperfield.admission.QueueWaitPredictor;
import io.pepperfield.cloud.Cloud;
import io.pepperfield.cloud.Renting;
import io.pepperfield.cloud.TypesRecord;
import io.pepperfield.config.Aims;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.Report;
import io.pepperfield.jobs.Job;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.ForwardingMessages;
import io.pepperfield.peer.PartitionOrders;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.Writer;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leading controller, for as long as one leadership lasts: what runs where, and what is rented.
 */
public final class Leader implements Fleet.Listener, LeaderHeartbeats {

    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    /** Of a report period: how old the state service's last answer may be for starts. */
    private static final double FRESH = 0.8;

    private final Loop loop;
    private final Settings settings;
    private final Leadership leadership;
    private final DurableState durable;
    private final MachineTypes types;
    private final LeaseRenewal renewal;
    private final Fleet fleet;
    private final Renting renting;
    private final JobTracker jobs;
    private final DirectOrders direct;
    private final LeaderOverview overview;
    private final ClusterState cluster;
    private final CloudInventory inventory;
    private final Dispatcher dispatcher;
    private final Sizer sizer;
    private final FailureDetector failureDetector;
    private final double reportS;
    private final double leaseS;
    private final double startedAt;
    private double tokenRequestedAt;
    private double bootsUpdatedAt = Double.NEGATIVE_INFINITY;
    private boolean acting;

    /** Null where admission is switched off, and before its first count. */
    private QueueWaitPredictor queueWaits;

    Leader(
            Loop loop,
            Settings settings,
            Leadership leadership,
            DurableState durable,
            PartitionOrders workers,
            Cloud cloud,
            MachineTypes types,
            LeaseRenewal renewal) {
        this.loop = loop;
        this.settings = settings;
        this.leadership = leadership;
        this.durable = durable;
        this.types = types;
        this.renewal = renewal;
        this.reportS = settings.deployment().workers().reportS();
        this.leaseS = settings.deployment().workers().leaseS();
        this.startedAt = loop.now();
        this.tokenRequestedAt = startedAt;
        this.fleet = new Fleet(this, leadership.token(), leaseS / 2);
        this.renting = renting(cloud);
        this.direct = new DirectOrders(loop, fleet, leadership, workers, () -> fresh(loop.now()));
        this.jobs =
                new JobTracker(
                        loop,
                        settings,
                        durable,
                        leadership.token(),
                        fleet,
                        direct,
                        this::wakeDispatcher);
        this.cluster = clusterState();
        this.dispatcher = new Dispatcher(cluster, jobs);
        this.sizer = new Sizer(cluster);
        this.overview =
                new LeaderOverview(cluster, dispatcher, durable.writer(), durable.catalog());
        this.failureDetector = new FailureDetector(cluster, dispatcher, workers, jobs);
        this.inventory =
                new CloudInventory(loop, cloud, settings.deployment().cloud(), fleet, renting);
    }

    private Renting renting(Cloud cloud) {
        return new Renting(
                loop,
                cloud,
                durable.writer(),
                fleet,
                leadership.token(),
                reportS,
                settings.operators().chargeS(),
                leadership::confirmed);
    }

    private ClusterState clusterState() {
        return new ClusterState(
                loop,
                settings,
                new Aims(settings.deployment().objectives()),
                types,
                fleet,
                jobs.ledger(),
                jobs.jobs(),
                renting,
                new BootTracker(types, settings.operators().chargeS()),
                new Latencies());
    }

    private void wakeDispatcher() {
        dispatcher.wake();
    }

    /**
     * Reads what earlier leaders have left in the replica, which must hold everything written
     * before this leadership began.
     */
    void takeOver() {
        durable.replica()
                .each(
                        Keys.HIRE,
                        (key, data) -> renting.restore(key.substring(Keys.HIRE.length()), data));
        jobs.restoreAll();
        if (types.known()) {
            typesHeard();
        }
        LOG.info(
                "taking over {} jobs, {} attempts, {} machines",
                jobs.jobs().size(),
                jobs.ledger().size(),
                fleet.machines().size());
    }

    /** The leadership has ended: what is still answered changes nothing. */
    void stop() {
        jobs.stop();
        inventory.stop();
        renting.stop();
        failureDetector.stop();
        direct.stop();
    }

    /** The replica brought a new job or a final state. */
    void catalogChanged(String id) {
        jobs.catalogChanged(id);
    }

    /** Keeps the types where a controller that cannot ask the cloud finds them. */
    void typesHeard() {
        Replica.Entry known = durable.replica().get(Keys.TYPES);
        if (known == null || !types.sameButForPrices(TypesRecord.read(known.data()))) {
            durable.writer()
                    .mark(
                            Keys.TYPES,
                            Writer.Priority.PATIENT,
                            () -> TypesRecord.write(types.all()),
                            null,
                            null);
        }
    }

    /**
     * The token was minted anew; orders under the one before are refused by whoever has seen it.
     */
    void renewedToken(long token) {
        fleet.token(token);
        tokenRequestedAt = loop.now();
    }

    // ---- reports

    @Override
    public List<Order> report(Report report, String through) {
        double now = loop.now();
        fleet.holdStarts(!fresh(now));
        List<Order> orders = fleet.beat(report, now);
        if (orders == null) {
            return null;
        }
        Machine machine = fleet.get(report.machine());
        machine.reportsThrough(through);
        return renewal.allowed(settledUpTo(machine), now) ? orders : null;
    }

    /**
     * Up to when all cancellations are settled on a machine whose report is being answered. A run
     * order on its way, whose job was cancelled since, could begin after the last stop that this
     * leader can give.
     */
    private double settledUpTo(Machine machine) {
        return fleet.unsettledCancelled(machine).stream()
                .mapToDouble(attempt -> attempt.job.openAsOf())
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    /**
     * Whether the state service has answered of late: a follow is held for half a period, and as
     * much again is not the ordinary case.
     */
    private boolean fresh(double now) {
        return now - durable.confirmedAt().getAsDouble() < FRESH * reportS;
    }

    @Override
    public ForwardingMessages.Verdict forwardedReport(
            ForwardingMessages.Beat beat, String through) {
        Report report = wholeReport(beat);
        if (report == null) {
            return new ForwardingMessages.Verdict.WantsWhole();
        }
        if (report.token() > leadership.token()) {
            leadership.sawToken(report.token());
            return new ForwardingMessages.Verdict.Refused();
        }
        List<Order> orders = report(report, through);
        if (orders == null) {
            return new ForwardingMessages.Verdict.Refused();
        }
        return new ForwardingMessages.Verdict.Orders(
                Order.reply(leadership.token(), orders).path("orders"));
    }

    /** The report itself, or null where it only names one before that is not known here. */
    private Report wholeReport(ForwardingMessages.Beat beat) {
        if (beat instanceof ForwardingMessages.Beat.Same same) {
            return fleet.repeated(
                    same.machine(), same.tenure(), same.base(), same.serial(), same.token());
        }
        return ((ForwardingMessages.Beat.Whole) beat).report();
    }

    @Override
    public void heard(Report report) {
        fleet.heard(report, loop.now());
    }

    @Override
    public void remembered(ForwardingMessages.Kept kept) {
        fleet.remembered(kept.report(), loop.now() - kept.ageS());
    }

    /** Counts what waits of each team, for admission. */
    void countQueues(QueueWaitPredictor queues) {
        queueWaits = queues;
        double now = loop.now();
        queues.recount();
        for (Job job : jobs.jobs().values()) {
            // What waits for other jobs, or fails wherever it is tried, says nothing about the
            // queue.
            if (job.end() == null && !job.isAwaiting() && !job.suspect()) {
                int waiting = job.waitingCount();
                if (waiting > 0) {
                    queues.waiting(
                            job.spec.team(), job.placed().rank(), waiting, now - job.readyAt());
                }
            }
        }
        queues.counted(now);
    }

    // ---- events in the fleet

    @Override
    public void started(Attempt attempt) {
        if (queueWaits != null) {
            queueWaits.started(attempt.job.spec.team(), attempt.job.placed().rank());
        }
        if (LOG.isDebugEnabled()) {
            LOG.debug(
                    "{} ({}) attempt {} runs on {}: {} s after its intent, {} s after its submission",
                    attempt.ref,
                    attempt.job.spec.workload(),
                    attempt.number,
                    attempt.machine.name,
                    tenths(loop.now() - attempt.intendedAt),
                    tenths(loop.now() - attempt.job.readyAt()));
        }
    }

    private static double tenths(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }

    @Override
    public void completed(Attempt attempt, double ranS) {
        if (jobs.completed(attempt) && ranS > 0) {
            sizer.finished(attempt.job, ranS);
        }
    }

    @Override
    public void gone(Attempt attempt, Report.Cause cause) {
        jobs.gone(attempt, cause);
    }

    @Override
    public void appeared(Machine machine) {
        // A line for each machine of a large fleet would fill the log at every take-over.
        LOG.debug(
                "{} reports, {} s after its rental",
                machine.describe(),
                Math.round(loop.now() - machine.rentedAt()));
        // One from before this leader may have been up for long already.
        if (!machine.up() && machine.rentedAt() >= startedAt) {
            cluster.boots().reported(machine, loop.now());
        }
        dispatcher.wake();
    }

    // ---- the rounds

    /** At the end of each batch of commands. */
    void flush() {
        if (acting && leadership.confirmed()) {
            dispatcher.flush();
        }
        durable.writer().flush();
        direct.flush();
    }

    /** To be called several times in a report period. */
    void tick() {
        if (!leadership.confirmed()) {
            return;
        }
        double now = loop.now();
        if (acting) {
            act(now);
        } else {
            acting = mayBegin(now);
        }
    }

    /**
     * Whether all machines are known, or have had the time of a report to make themselves known.
     */
    private boolean mayBegin(double now) {
        return now - startedAt >= reportS || fleet.machines().stream().allMatch(Machine::up);
    }

    private void act(double now) {
        if (now - bootsUpdatedAt >= reportS / 4) {
            bootsUpdatedAt = now;
            cluster.boots().update(fleet, now);
        }
        if (!failureDetector.tick(now)) {
            // All of them dead at once is less likely than this node cut off, while another may
            // reach them.
            leadership.abdicate("no worker reports here", leaseS);
            return;
        }
        mintWantedToken(now);
        inventory.tick(now);
        sizer.tick(now);
        dispatcher.tick(now);
    }

    private void mintWantedToken(double now) {
        if (fleet.newerTokenWanted() && now - tokenRequestedAt >= leaseS / 4) {
            tokenRequestedAt = now;
            leadership.mint();
        }
    }

    /** What operators see of this leadership. */
    LeaderOverview overview() {
        return overview;
    }
}
