package io.pepperfield.node;

import io.pepperfield.cloud.Cloud;
import io.pepperfield.cloud.MachineType;
import io.pepperfield.cloud.Renting;
import io.pepperfield.cloud.TypesRecord;
import io.pepperfield.config.Aims;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Ledger;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.Report;
import io.pepperfield.jobs.Catalog;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.RankInheritance;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.jobs.SharedRecords;
import io.pepperfield.jobs.Status;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.peer.PartitionOrders;
import io.pepperfield.peer.RelayMessages;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.Writer;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leading controller, for as long as one leadership lasts: what runs where, and what is rented.
 */
public final class Leader implements Fleet.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    private final Loop loop;
    private final Settings settings;
    private final Leadership leadership;
    private final Replica replica;
    private final Catalog catalog;
    private final Writer writer;
    private final PartitionOrders workers;
    private final Types types;
    private final LeaseRenewal renewal;
    private final DoubleSupplier knownUpTo;
    private final Fleet fleet;
    private final Ledger ledger = new Ledger();
    private final Renting renting;
    private final Cloud cloud;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final RankInheritance ranks =
            new RankInheritance((id, rank) -> jobs.get(id).placedAs(rank));
    private final RunRecords records;
    private final DirectOrders direct;
    private final LeaderOverview overview;
    private final ClusterState cluster;
    private final Dispatcher dispatcher;
    private final Sizer sizer;
    private final Watch watch;
    private final double reportS;
    private final double startedAt;
    private double mintedAt;
    private double lookedAt = Double.NEGATIVE_INFINITY;
    private double listedAt = Double.NEGATIVE_INFINITY;
    private boolean listing;
    private boolean acting;
    private boolean over;

    Leader(
            Loop loop,
            Settings settings,
            Leadership leadership,
            Replica replica,
            Catalog catalog,
            Writer writer,
            PartitionOrders workers,
            Cloud cloud,
            Types types,
            LeaseRenewal renewal,
            DoubleSupplier knownUpTo) {
        this.loop = loop;
        this.settings = settings;
        this.leadership = leadership;
        this.replica = replica;
        this.catalog = catalog;
        this.writer = writer;
        this.workers = workers;
        this.cloud = cloud;
        this.types = types;
        this.renewal = renewal;
        this.knownUpTo = knownUpTo;
        this.reportS = settings.deployment().workers().reportS();
        this.fleet =
                new Fleet(this, leadership.token(), settings.deployment().workers().leaseS() / 2);
        this.renting =
                new Renting(
                        loop,
                        cloud,
                        writer,
                        fleet,
                        leadership.token(),
                        reportS,
                        settings.operators().chargeS(),
                        leadership::confirmed);
        this.records =
                new RunRecords(
                        writer,
                        replica,
                        ledger,
                        new SharedRecords(
                                leadership.token(), 2 * settings.deployment().state().txnOps()),
                        settings.deployment().state().txnOps());
        this.direct = new DirectOrders(loop, fleet, leadership, workers, () -> fresh(loop.now()));
        this.startedAt = loop.now();
        this.mintedAt = startedAt;
        this.cluster =
                new ClusterState(
                        loop,
                        settings,
                        new Aims(settings.deployment().objectives()),
                        types,
                        fleet,
                        ledger,
                        jobs,
                        renting,
                        new Boots(types, settings.operators().chargeS()),
                        new Latencies());
        Dispatcher.Starter starter =
                new Dispatcher.Starter() {
                    @Override
                    public void start(Job job, int task, Machine machine) {
                        begin(job, task, machine);
                    }

                    @Override
                    public void stop(Attempt attempt, double drainS) {
                        fleet.stop(attempt, drainS);
                        direct.add(attempt);
                    }
                };
        this.dispatcher = new Dispatcher(cluster, starter);
        this.sizer = new Sizer(cluster);
        this.overview = new LeaderOverview(cluster, dispatcher, writer, catalog);
        this.watch = new Watch(cluster, dispatcher, workers, starter);
    }

    /**
     * Builds its books from the replica, which must hold everything written before this leadership
     * began.
     */
    void takeOver() {
        double now = loop.now();
        replica.each(
                Keys.HIRE, (key, data) -> renting.restore(key.substring(Keys.HIRE.length()), data));
        for (Catalog.Record record : catalog.all()) {
            if (record.end() != Status.DONE) {
                restore(record, now);
            }
        }
        records.restore(catalog.shared(), jobs);
        jobs.values().stream()
                .filter(job -> job.end() == null)
                .forEach(job -> await(job, catalog.get(job.spec.id())));
        if (types.known()) {
            typesHeard();
        }
        LOG.info(
                "taking over {} jobs, {} attempts, {} machines",
                jobs.size(),
                ledger.size(),
                fleet.machines().size());
    }

    private void restore(Catalog.Record record, double now) {
        Job job =
                new Job(
                        record.spec(),
                        now - Math.max(0, (loop.wallMs() - record.spec().acceptedMs()) / 1000.0));
        if (record.end() != null) {
            job.end(record.end(), record.openAsOf());
        }
        boolean live = false;
        for (RunRecord line : record.lines()) {
            job.restore(line.task(), line.attempt(), line.state() == RunRecord.State.LIVE);
            if (line.state() == RunRecord.State.DONE) {
                job.markDone(line.task());
            } else if (line.state() == RunRecord.State.FAILED) {
                // Or every change of leader would let a job that fails everywhere loose on the
                // fleet once more.
                job.failedBefore();
            } else if (line.state() == RunRecord.State.LIVE) {
                live = true;
                Attempt attempt =
                        fleet.restore(
                                job,
                                line.task(),
                                line.attempt(),
                                line.machine(),
                                line.tenure(),
                                now);
                ledger.add(attempt);
                if (job.end() != null) {
                    fleet.stop(attempt, 0);
                }
            }
        }
        if (job.end() == null || live) {
            if (job.doneCount() > 0) {
                job.succeeded();
            }
            jobs.put(job.spec.id(), job);
            endIfDone(job, () -> {});
        }
    }

    void stop() {
        over = true;
        renting.stop();
        watch.stop();
        direct.stop();
    }

    /** The replica brought a new job or a final state. */
    void catalogChanged(String id) {
        Catalog.Record record = catalog.get(id);
        if (record == null) {
            return;
        }
        Job job = jobs.get(id);
        if (job == null && record.end() == null) {
            jobs.put(id, new Job(record.spec(), loop.now()));
            await(jobs.get(id), record);
            dispatcher.wake();
        } else if (job != null && job.isAwaiting() && record.end() == null && record.ready()) {
            job.ready(readyAt(record));
            dispatcher.wake();
        } else if (job != null && job.end() == null && record.end() != null) {
            ended(job, record.end());
        }
    }

    /** A job that is not over waits for those that it needs, and lends them its rank. */
    private void await(Job job, Catalog.Record record) {
        if (!record.ready()) {
            job.awaiting();
        } else if (!job.spec.awaits().isEmpty()) {
            job.ready(readyAt(record));
        }
        ranks.added(job.spec);
    }

    /** By this leader's clock; now where the final states, by an older version, do not say. */
    private double readyAt(Catalog.Record record) {
        long sinceMs =
                record.readyMs().isPresent() ? loop.wallMs() - record.readyMs().getAsLong() : 0;
        return loop.now() - Math.max(0, sinceMs / 1000.0);
    }

    private void ended(Job job, Status end) {
        job.end(end, catalog.get(job.spec.id()).openAsOf());
        ranks.removed(job.spec);
        if (end == Status.DONE) {
            records.drop(job);
        }
        for (Attempt attempt : ledger.of(job)) {
            fleet.stop(attempt, 0);
            direct.add(attempt);
        }
        forgetIfOver(job);
        dispatcher.wake();
    }

    private void forgetIfOver(Job job) {
        if (job.end() != null && !ledger.has(job)) {
            jobs.remove(job.spec.id());
            records.over(job);
        }
    }

    /** Keeps the types where a controller that cannot ask the cloud finds them. */
    void typesHeard() {
        Replica.Entry known = replica.get(Keys.TYPES);
        if (known == null || !sameButForPrices(TypesRecord.read(known.data()))) {
            writer.mark(
                    Keys.TYPES,
                    Writer.Priority.PATIENT,
                    () -> TypesRecord.write(types.all()),
                    null,
                    null);
        }
    }

    private boolean sameButForPrices(List<MachineType> durable) {
        return durable.size() == types.all().size()
                && durable.stream()
                        .allMatch(
                                t -> {
                                    MachineType now = types.get(t.name());
                                    return now != null
                                            && new MachineType(
                                                            now.name(),
                                                            now.cpus(),
                                                            now.gpus(),
                                                            now.memGb(),
                                                            now.cacheGb(),
                                                            now.fetchGbPerS(),
                                                            t.price(),
                                                            t.spotPrice(),
                                                            now.bootS(),
                                                            now.zones())
                                                    .equals(t);
                                });
    }

    void renewedToken(long token) {
        fleet.token(token);
        mintedAt = loop.now();
    }

    /** The orders that answer a worker's report, or null where it must not be answered with 200. */
    List<Order> report(Report report, String through) {
        double now = loop.now();
        fleet.holdStarts(!fresh(now));
        List<Order> orders = fleet.beat(report, now);
        if (orders == null) {
            return null;
        }
        Machine machine = fleet.get(report.machine());
        machine.reportsThrough(through);
        // A run order on its way, whose job was cancelled since, could begin after the last stop
        // that this leader can give.
        double settledUpTo =
                fleet.unsettledCancelled(machine).stream()
                        .mapToDouble(attempt -> attempt.job.openAsOf())
                        .min()
                        .orElse(Double.POSITIVE_INFINITY);
        return renewal.allowed(settledUpTo, now) ? orders : null;
    }

    /**
     * Whether the state service has answered of late: a follow is held for half a period, and as
     * much again is not the ordinary case.
     */
    private boolean fresh(double now) {
        return now - knownUpTo.getAsDouble() < 0.8 * reportS;
    }

    /** The answer to what a partition owner has passed on. */
    RelayMessages.Verdict relayed(RelayMessages.Beat beat, String through) {
        Report report = beat instanceof RelayMessages.Beat.Whole whole ? whole.report() : null;
        if (beat instanceof RelayMessages.Beat.Same same) {
            report =
                    fleet.repeated(
                            same.machine(),
                            same.tenure(),
                            same.base(),
                            same.serial(),
                            same.token());
            if (report == null) {
                return new RelayMessages.Verdict.WantsWhole();
            }
        }
        if (report.token() > leadership.token()) {
            leadership.sawToken(report.token());
            return new RelayMessages.Verdict.Refused();
        }
        List<Order> orders = report(report, through);
        return orders == null
                ? new RelayMessages.Verdict.Refused()
                : new RelayMessages.Verdict.Orders(
                        Order.reply(leadership.token(), orders).path("orders"));
    }

    void heard(Report report) {
        fleet.heard(report, loop.now());
    }

    void remembered(RelayMessages.Kept kept) {
        fleet.remembered(kept.report(), loop.now() - kept.ageS());
    }

    // ---- events in the fleet

    @Override
    public void started(Attempt attempt) {
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
        Job job = attempt.job;
        ledger.remove(attempt);
        dispatcher.wake();
        if (job.end() != null) {
            attempt.settle();
            forgetIfOver(job);
            return;
        }
        job.markDone(attempt.task);
        job.succeeded();
        if (ranS > 0) {
            sizer.finished(job, ranS);
        }
        // Done must be durable before the machine may forget it, or a later leader would run the
        // task again.
        if (over(job) && records.sharesRecord(job)) {
            // The final state says it as well, and spares the record that others share a change for
            // each of them.
            endIfDone(job, attempt::settle);
        } else {
            records.mark(job, attempt.task, Writer.Priority.PATIENT, attempt::settle);
            endIfDone(job, () -> {});
        }
    }

    private static boolean over(Job job) {
        return job.end() == null && !job.spec.service() && job.allDone();
    }

    private void endIfDone(Job job, Runnable settle) {
        if (over(job)) {
            String key = Keys.END + job.spec.id();
            long doneMs = loop.wallMs();
            writer.mark(
                    key,
                    Writer.Priority.END,
                    () -> JobMessages.durableDone(doneMs),
                    () -> {
                        settle.run();
                        ended(job, Status.DONE);
                    },
                    () -> {
                        settle.run();
                        ended(job, JobMessages.end(replica.get(key).data()));
                    });
        }
    }

    @Override
    public void gone(Attempt attempt, Report.Cause cause) {
        Job job = attempt.job;
        ledger.remove(attempt);
        dispatcher.wake();
        boolean failed = cause == Report.Cause.ERROR || cause == Report.Cause.NO_SUCH;
        if (failed) {
            // One line for a job: the tasks of a broken array fail by the hundred.
            LOG.debug(
                    "{} attempt {} failed on {}: {}",
                    attempt.ref,
                    attempt.number,
                    attempt.machine.describe(),
                    cause);
            if (job.failed(
                    attempt.machine.name, loop.now(), reportS, settings.operators().chargeS())) {
                LOG.info(
                        "{} has failed on {} and is tried one task at a time until one is completed",
                        job.spec.id(),
                        job.failedOn());
            }
        }
        // What fails of a job that nowhere succeeded says nothing about the machine: several broken
        // jobs would idle the fleet.
        if (failed
                ? job.doneCount() > 0
                : cause != Report.Cause.STOPPED && cause != Report.Cause.OTHER) {
            attempt.machine.avoid(loop.now() + 2 * reportS);
        }
        if (failed) {
            job.markFailed(attempt.task);
        }
        job.requeue(attempt.task);
        records.mark(job, attempt.task, Writer.Priority.PATIENT, null);
        forgetIfOver(job);
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
            cluster.boots().up(machine, loop.now());
        }
        dispatcher.wake();
    }

    // ---- the rounds

    /** At the end of each batch of commands. */
    void flush() {
        if (acting && leadership.confirmed()) {
            dispatcher.flush();
        }
        writer.flush();
        direct.flush();
    }

    void tick() {
        double now = loop.now();
        if (!leadership.confirmed()) {
            return;
        }
        if (!acting) {
            acting = now - startedAt >= reportS || fleet.machines().stream().allMatch(Machine::up);
            return;
        }
        if (now - lookedAt >= reportS / 4) {
            lookedAt = now;
            cluster.boots().look(fleet, now);
        }
        if (!watch.tick(now)) {
            // All of them dead at once is less likely than this node cut off, while another may
            // reach them.
            leadership.abdicate("no worker reports here", settings.deployment().workers().leaseS());
            return;
        }
        if (fleet.newerTokenWanted()
                && now - mintedAt >= settings.deployment().workers().leaseS() / 4) {
            mintedAt = now;
            leadership.mint();
        }
        if (now - listedAt
                        >= Math.max(
                                settings.deployment().cloud().listLagS() / 2,
                                4 / settings.deployment().cloud().rps())
                && !listing) {
            list(now);
        }
        sizer.tick(now);
        dispatcher.tick(now);
    }

    private void begin(Job job, int task, Machine machine) {
        Attempt attempt = fleet.intend(job, task, job.begin(task), machine, loop.now());
        ledger.add(attempt);
        records.mark(
                job,
                task,
                job.placed().rank() == JobSpec.Rank.BEST_EFFORT
                        ? Writer.Priority.LATER
                        : Writer.Priority.INTENT,
                () -> {
                    if (!over && fleet.ordered(attempt)) {
                        direct.add(attempt);
                    }
                });
    }

    private void list(double now) {
        listedAt = now;
        listing = true;
        cloud.list(
                listed -> {
                    listing = false;
                    if (over || listed == null) {
                        return;
                    }
                    for (Cloud.Listed item : listed) {
                        if (fleet.wasReleased(item.name())) {
                            continue;
                        }
                        // A machine that nobody expects was rented by a request that had been given
                        // up: it is used or returned.
                        Machine machine =
                                fleet.expect(
                                        item.name(),
                                        item.type(),
                                        item.zone(),
                                        item.spot(),
                                        loop.now() - item.ageS(),
                                        loop.now());
                        if (item.status().equals("failed")) {
                            renting.release(machine, "listed as failed");
                        }
                    }
                });
    }

    /** What operators see of this leadership. */
    LeaderOverview overview() {
        return overview;
    }
}
