package io.pepperfield.node;

import io.pepperfield.cloud.Cloud;
import io.pepperfield.cloud.MachineType;
import io.pepperfield.cloud.Renting;
import io.pepperfield.cloud.TypesRecord;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.Report;
import io.pepperfield.fleet.TaskRef;
import io.pepperfield.fleet.Workers;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.Catalog;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.jobs.Status;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.placement.Placer;
import io.pepperfield.placement.Preemption;
import io.pepperfield.placement.Room;
import io.pepperfield.placement.Share;
import io.pepperfield.placement.Want;
import io.pepperfield.predict.ClassTimes;
import io.pepperfield.predict.Predictor;
import io.pepperfield.steering.DemandWindow;
import io.pepperfield.steering.Pool;
import io.pepperfield.steering.Steering;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.Writer;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

/** The leading controller, for as long as one leadership lasts: what runs where, and what is rented. */
public final class Leader implements Fleet.Listener {

    private static final Logger LOG = LoggerFactory.getLogger(Leader.class);

    /** Part of the time for which an aim allows that is planned with; the rest is for booting and bad luck. */
    private static final double AIM_RESERVE = 0.5;

    private final Loop loop;
    private final Settings settings;
    private final Leadership leadership;
    private final Replica replica;
    private final Catalog catalog;
    private final Writer writer;
    private final Workers workers;
    private final Types types;
    private final Fleet fleet;
    private final Renting renting;
    private final Cloud cloud;
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Map<TaskRef, Attempt> attempts = new HashMap<>();
    private final Map<Machine, List<Attempt>> toSend = new LinkedHashMap<>();
    private final ClassTimes classTimes = new ClassTimes();
    private final DemandWindow ordinaryDemand;
    private final DemandWindow eagerDemand;
    private final DemandWindow patientDemand;
    private final Map<Pool, DemandWindow> wanted = new HashMap<>();
    private final double reportS;
    private final double startedAt;
    private double intervalS;
    private double mintedAt;
    private double steeredAt = Double.NEGATIVE_INFINITY;
    private double placedAt = Double.NEGATIVE_INFINITY;
    private double listedAt = Double.NEGATIVE_INFINITY;
    private boolean listing;
    private boolean dirty = true;
    private boolean acting;
    private boolean over;

    Leader(Loop loop, Settings settings, Leadership leadership, Replica replica, Catalog catalog, Writer writer,
           Workers workers, Cloud cloud, Types types) {
        this.loop = loop;
        this.settings = settings;
        this.leadership = leadership;
        this.replica = replica;
        this.catalog = catalog;
        this.writer = writer;
        this.workers = workers;
        this.cloud = cloud;
        this.types = types;
        this.reportS = settings.deployment().workers().reportS();
        this.fleet = new Fleet(this, leadership.token());
        this.renting = new Renting(loop, cloud, writer, fleet, leadership.token(), reportS, settings.operators().chargeS());
        this.startedAt = loop.now();
        this.mintedAt = startedAt;
        this.ordinaryDemand = new DemandWindow(settings.operators().chargeS());
        this.eagerDemand = new DemandWindow(settings.operators().chargeS());
        this.patientDemand = new DemandWindow(settings.operators().chargeS());
    }

    /** Builds its books from the replica, which must hold everything written before this leadership began. */
    void takeOver() {
        double now = loop.now();
        for (Catalog.Record record : catalog.all()) {
            if (record.end() != Status.DONE) {
                restore(record, now);
            }
        }
        replica.each(Keys.HIRE, (key, data) -> renting.restore(key.substring(Keys.HIRE.length()), data));
        if (types.known()) {
            typesHeard();
        }
        LOG.info("taking over {} jobs, {} attempts, {} machines", jobs.size(), attempts.size(), fleet.machines().size());
    }

    private void restore(Catalog.Record record, double now) {
        Job job = new Job(record.spec(), now - Math.max(0, (loop.wallMs() - record.spec().acceptedMs()) / 1000.0));
        if (record.end() != null) {
            job.end(record.end());
        }
        boolean live = false;
        for (var chunk : record.chunks()) {
            for (RunRecord line : RunRecord.read(chunk)) {
                job.restore(line.task(), line.attempt(), line.state() == RunRecord.State.LIVE);
                if (line.state() == RunRecord.State.DONE) {
                    job.markDone(line.task());
                } else if (line.state() == RunRecord.State.LIVE) {
                    live = true;
                    Attempt attempt = fleet.restore(job, line.task(), line.attempt(), line.machine(), line.tenure(), now);
                    attempts.put(attempt.ref, attempt);
                    if (job.end() != null) {
                        fleet.stop(attempt, 0);
                    }
                }
            }
        }
        if (job.end() == null || live) {
            jobs.put(job.spec.id(), job);
            endIfDone(job);
        }
    }

    void stop() {
        over = true;
        renting.stop();
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
            dirty = true;
        } else if (job != null && job.end() == null && record.end() != null) {
            ended(job, record.end());
        }
    }

    private void ended(Job job, Status end) {
        job.end(end);
        for (Attempt attempt : List.copyOf(attempts.values())) {
            if (attempt.job == job) {
                fleet.stop(attempt, 0);
                direct(attempt);
            }
        }
        forgetIfOver(job);
        dirty = true;
    }

    private void forgetIfOver(Job job) {
        if (job.end() != null && attempts.values().stream().noneMatch(a -> a.job == job)) {
            jobs.remove(job.spec.id());
        }
    }

    /** Keeps the types where a controller that cannot ask the cloud finds them. */
    void typesHeard() {
        Replica.Entry known = replica.get(Keys.TYPES);
        if (known == null || !sameButForPrices(TypesRecord.read(known.data()))) {
            writer.mark(Keys.TYPES, () -> TypesRecord.write(types.all()), null, null);
        }
    }

    private boolean sameButForPrices(List<MachineType> durable) {
        return durable.size() == types.all().size() && durable.stream().allMatch(t -> {
            MachineType now = types.get(t.name());
            return now != null && new MachineType(now.name(), now.cpus(), now.gpus(), now.memGb(), now.cacheGb(), now.fetchGbPerS(),
                    t.price(), t.spotPrice(), now.bootS(), now.zones()).equals(t);
        });
    }

    void renewedToken(long token) {
        fleet.token(token);
        mintedAt = loop.now();
    }

    /** The answer to a worker's report, or null where it must not be answered with 200. */
    byte[] report(Report report) {
        List<Order> orders = fleet.beat(report, loop.now());
        return orders == null ? null : Json.write(Order.reply(leadership.token(), orders));
    }

    // ---- events in the fleet

    @Override public void started(Attempt attempt) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("{} ({}) attempt {} runs on {}: {} s after its intent, {} s after its submission", attempt.ref,
                    attempt.job.spec.workload(), attempt.number, attempt.machine.name, tenths(loop.now() - attempt.intendedAt),
                    tenths(loop.now() - attempt.job.submittedAt));
        }
    }

    private static double tenths(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }

    @Override public void completed(Attempt attempt, double ranS) {
        Job job = attempt.job;
        attempts.remove(attempt.ref, attempt);
        dirty = true;
        if (job.end() != null) {
            attempt.settle();
            forgetIfOver(job);
            return;
        }
        job.markDone(attempt.task);
        job.succeeded();
        if (ranS > 0) {
            job.times.finished(ranS, OptionalDouble.empty());
            classTimes.finished(job.spec.workload(), ranS);
        }
        // Done must be durable before the machine may forget it, or a later leader would run the task again.
        mark(job, attempt.task, attempt::settle);
        endIfDone(job);
    }

    private void endIfDone(Job job) {
        if (job.end() == null && !job.spec.service() && job.allDone()) {
            writer.mark(Keys.END + job.spec.id(), () -> JobMessages.durableEnd(Status.DONE), () -> ended(job, Status.DONE),
                    () -> ended(job, JobMessages.end(replica.get(Keys.END + job.spec.id()).data())));
        }
    }

    @Override public void gone(Attempt attempt, Report.Cause cause) {
        Job job = attempt.job;
        attempts.remove(attempt.ref, attempt);
        dirty = true;
        if (cause == Report.Cause.ERROR || cause == Report.Cause.NO_SUCH) {
            job.failed(loop.now(), reportS, settings.operators().chargeS());
            LOG.info("{} attempt {} failed on {}: {}", attempt.ref, attempt.number, attempt.machine.describe(), cause);
        }
        if (cause != Report.Cause.STOPPED && cause != Report.Cause.OTHER) {
            attempt.machine.avoid(loop.now() + 2 * reportS);
        }
        job.requeue(attempt.task);
        mark(job, attempt.task, null);
        forgetIfOver(job);
    }

    @Override public void appeared(Machine machine) {
        double took = loop.now() - machine.rentedAt();
        LOG.info("{} reports, {} s after its rental", machine.describe(), Math.round(took));
        dirty = true;
    }

    private void mark(Job job, int task, Runnable effect) {
        int chunk = task / job.spec.chunk();
        writer.mark(Keys.run(job.spec.id(), chunk), () -> RunRecord.write(lines(job, chunk)), effect, null);
    }

    private List<RunRecord> lines(Job job, int chunk) {
        List<RunRecord> lines = new ArrayList<>();
        int end = Math.min(job.spec.tasks(), (chunk + 1) * job.spec.chunk());
        for (int task = chunk * job.spec.chunk(); task < end; task++) {
            int number = job.attempt(task);
            Attempt attempt = attempts.get(new TaskRef(job.spec.id(), task));
            if (job.isDone(task)) {
                lines.add(new RunRecord(task, number, RunRecord.State.DONE, "", 0));
            } else if (attempt != null) {
                lines.add(new RunRecord(task, number, RunRecord.State.LIVE, attempt.machine.name, attempt.tenure));
            } else if (number > 0) {
                lines.add(new RunRecord(task, number, RunRecord.State.GONE, "", 0));
            }
        }
        return lines;
    }

    // ---- direct orders

    private void direct(Attempt attempt) {
        if (attempt.phase() != Attempt.Phase.INTENDED && attempt.live()) {
            toSend.computeIfAbsent(attempt.machine, m -> new ArrayList<>()).add(attempt);
        }
    }

    private void sendDirect() {
        if (toSend.isEmpty() || !leadership.confirmed()) {
            // What does not go directly goes with the answer to the machine's next report.
            toSend.clear();
            return;
        }
        toSend.forEach((machine, list) -> {
            List<Order> orders = new ArrayList<>();
            List<Attempt> runs = new ArrayList<>();
            for (Attempt attempt : list) {
                if (!attempt.live() || attempt.tenure != machine.tenure()) {
                    continue;
                }
                if (attempt.stopWanted()) {
                    orders.add(new Order.Stop(attempt.ref, attempt.number, attempt.drainS()));
                } else if (attempt.phase() == Attempt.Phase.ORDERED) {
                    orders.add(new Order.Run(attempt.ref, attempt.number));
                    runs.add(attempt);
                }
            }
            if (orders.isEmpty() || machine.releasing()) {
                return;
            }
            fleet.sendingDirect(runs);
            workers.orders(machine.address(), leadership.token(), machine.tenure(), orders, result -> {
                if (!over && result instanceof Workers.Result.Heard heard) {
                    fleet.heard(heard.report(), loop.now());
                }
            });
        });
        toSend.clear();
    }

    // ---- the rounds

    /** At the end of each batch of commands. */
    void flush() {
        if (acting && leadership.confirmed() && dirty && loop.now() - placedAt >= reportS / 50) {
            place();
        }
        writer.flush();
        sendDirect();
    }

    void tick() {
        double now = loop.now();
        if (!leadership.confirmed()) {
            return;
        }
        if (!acting) {
            boolean heardAll = fleet.machines().stream().allMatch(Machine::up);
            acting = heardAll || now - startedAt >= reportS * 1.25;
            return;
        }
        watch(now);
        if (fleet.newerTokenWanted() && now - mintedAt >= settings.deployment().workers().leaseS() / 4) {
            mintedAt = now;
            leadership.mint();
        }
        if (now - listedAt >= Math.max(settings.deployment().cloud().listLagS() / 2, 4 / settings.deployment().cloud().rps()) && !listing) {
            list(now);
        }
        if (now - steeredAt >= reportS / 2 && types.known()) {
            steeredAt = now;
            steer(now);
        }
        if (now - placedAt >= reportS) {
            dirty = true;
        }
    }

    /** Machines that say nothing, never came up, or are about to be taken. */
    private void watch(double now) {
        double silentS = silentS();
        List<Machine> silent = new ArrayList<>();
        int up = 0;
        for (Machine machine : fleet.machines()) {
            if (machine.releasing()) {
                continue;
            }
            if (machine.up()) {
                up++;
                if (machine.silentFor(now) > silentS) {
                    silent.add(machine);
                }
                if (machine.silentFor(now) > 1.5 * reportS && machine.dueForProbe(now, reportS / 2)) {
                    workers.probe(machine.address(), report -> {
                        if (!over && report != null) {
                            fleet.heard(report, loop.now());
                        }
                    });
                }
                if (!Double.isNaN(machine.takenAt())) {
                    drainTaken(machine);
                }
                if (machine.faulty()) {
                    machine.drain();
                }
                if (machine.draining() && machine.idle()) {
                    renting.release(machine, machine.faulty() ? "faulty" : "about to be taken");
                }
            } else if (now - machine.rentedAt() > bootLimit(machine) && machine.silentFor(now) > silentS) {
                renting.release(machine, "not up " + Math.round(now - machine.rentedAt()) + " s after its rental");
            }
        }
        if (up > 1 && silent.size() == up) {
            // All of them dead at once is less likely than this node cut off, while another may reach them.
            leadership.abdicate("no worker reports here", settings.deployment().workers().leaseS());
            return;
        }
        // Many at once are more likely a cut than so many deaths: their leases run out first.
        boolean cut = silent.size() > Math.max(settings.operators().silentAtOnce(), up / 3);
        silent.sort(Comparator.comparingDouble((Machine m) -> m.silentFor(now)).reversed());
        for (Machine machine : silent) {
            if (renting.releasing() >= settings.operators().silentAtOnce()) {
                break;
            }
            if (isLost(machine, cut, now)) {
                renting.release(machine, "silent for " + Math.round(machine.silentFor(now)) + " s");
            }
        }
    }

    /** A report is due within 1.25 periods; a probe is sent after 1.5 and has half a period for its answer. */
    private double silentS() {
        return 2.25 * reportS;
    }

    /**
     * Whether to give a silent machine up. It may only hang, and its tasks with it until their lease ends: to return it
     * earlier pays where replicas can go on elsewhere at once, and costs both work and replicas where they cannot.
     */
    private boolean isLost(Machine machine, boolean cut, double now) {
        double leaseS = settings.deployment().workers().leaseS();
        double silent = machine.silentFor(now);
        if (cut) {
            return silent > 1.5 * leaseS;
        }
        if (silent > leaseS || machine.idle()) {
            return true;
        }
        return holdsReplica(machine) ? renting.releasing() == 0 && roomForReplicasOf(machine, now) : silent > leaseS / 2;
    }

    private boolean roomForReplicasOf(Machine lost, double now) {
        Map<String, Share> shares = shares();
        Map<Job, Integer> replicas = new LinkedHashMap<>();
        for (Attempt attempt : lost.attempts()) {
            if (attempt.live() && attempt.job.spec.service() && attempt.job.end() == null) {
                replicas.merge(attempt.job, 1, Integer::sum);
                shares.get(attempt.job.spec.team()).free(attempt.job.spec, 1);
            }
        }
        List<Want> wants = new ArrayList<>();
        replicas.forEach((job, count) -> {
            Map<String, Integer> zones = new HashMap<>();
            for (Attempt attempt : attempts.values()) {
                if (attempt.job == job && attempt.machine != lost) {
                    zones.merge(attempt.machine.zone(), 1, Integer::sum);
                }
            }
            wants.add(new Want(job.spec, count, true, job.submittedAt, zones, new HashSet<>()));
        });
        List<Room> rooms = rooms(now);
        List<Preemption.Place> places = places(rooms, new HashMap<>(), now);
        Placer.place(wants, rooms, shares).forEach(choice -> wants.stream().filter(w -> w.job().id().equals(choice.job())).findFirst()
                .ifPresent(want -> Preemption.book(places, choice, want)));
        Preemption.victims(wants, places, shares);
        return wants.stream().allMatch(want -> want.waiting() == 0);
    }

    private double bootLimit(Machine machine) {
        MachineType type = types.get(machine.type());
        return type == null ? settings.operators().chargeS() : 3 * type.bootS();
    }

    /** A machine that will be taken: what can save does so in time; what may still complete goes on. */
    private void drainTaken(Machine machine) {
        for (Attempt attempt : List.copyOf(machine.attempts())) {
            if (attempt.live() && !attempt.stopWanted() && attempt.job.spec.saves() && attempt.running()) {
                fleet.stop(attempt, attempt.job.spec.checkpointS());
                direct(attempt);
            }
        }
    }

    private void list(double now) {
        listedAt = now;
        listing = true;
        cloud.list(listed -> {
            listing = false;
            if (over || listed == null) {
                return;
            }
            for (Cloud.Listed item : listed) {
                if (fleet.wasReleased(item.name())) {
                    continue;
                }
                // A machine that nobody expects was rented by a request that had been given up: it is used or returned.
                Machine machine = fleet.expect(item.name(), item.type(), item.zone(), item.spot(),
                        loop.now() - item.ageS(), loop.now());
                if (item.status().equals("failed")) {
                    renting.release(machine, "listed as failed");
                }
            }
        });
    }

    private void place() {
        placedAt = loop.now();
        dirty = false;
        if (!types.known()) {
            return;
        }
        double now = loop.now();
        Map<String, Share> shares = shares();
        List<Room> rooms = rooms(now);
        List<Want> wants = wants(now);
        start(Placer.place(wants, rooms, shares), now);
        if (wants.stream().noneMatch(Want::stuck)) {
            return;
        }
        // To stop lower work on a machine that has the image beats a start on one that must fetch it first.
        Map<String, Attempt> victims = new HashMap<>();
        List<Preemption.Place> places = places(rooms, victims, now);
        stop(Preemption.victims(wants.stream().filter(Want::warmOnly).toList(), places, shares), victims);
        wants.forEach(want -> want.warmOnly(false));
        Map<String, Want> byJob = new HashMap<>();
        wants.forEach(want -> byJob.put(want.job().id(), want));
        List<Placer.Choice> colder = Placer.place(wants, rooms, shares);
        colder.forEach(choice -> Preemption.book(places, choice, byJob.get(choice.job())));
        start(colder, now);
        stop(Preemption.victims(wants, places, shares), victims);
    }

    /** The machines that may take tasks now. */
    private List<Room> rooms(double now) {
        List<Room> rooms = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            MachineType type = types.get(machine.type());
            if (type != null && machine.up() && !machine.releasing() && !machine.draining() && machine.avoidUntil() <= now
                    && machine.silentFor(now) < 1.5 * reportS) {
                rooms.add(new Room(machine.name, machine.type(), machine.zone(), machine.spot(), machine.images(),
                        machine.freeCpus(type), machine.freeGpus(type), machine.freeMemGb(type)));
            }
        }
        return rooms;
    }

    private void start(List<Placer.Choice> choices, double now) {
        for (Placer.Choice choice : choices) {
            Job job = jobs.get(choice.job());
            int task = job.nextWaiting();
            Attempt attempt = fleet.intend(job, task, job.begin(task), fleet.get(choice.machine()), now);
            attempts.put(attempt.ref, attempt);
            mark(job, task, () -> {
                if (!over && fleet.ordered(attempt)) {
                    direct(attempt);
                }
            });
        }
    }

    private void stop(List<String> chosen, Map<String, Attempt> victims) {
        for (String id : chosen) {
            LOG.debug("stopping {} to free room", id);
            // At once: to save first would hold up what it is stopped for.
            fleet.stop(victims.get(id), 0);
            direct(victims.get(id));
        }
    }

    /** The machines as they will be once all that is being stopped is gone, with what else could be stopped. */
    private List<Preemption.Place> places(List<Room> rooms, Map<String, Attempt> byId, double now) {
        List<Preemption.Place> places = new ArrayList<>();
        for (Room free : rooms) {
            Room room = free.copy();
            List<Preemption.Victim> victims = new ArrayList<>();
            for (Attempt attempt : fleet.get(room.machine()).attempts()) {
                JobSpec spec = attempt.job.spec;
                if (attempt.stopWanted() && attempt.live()) {
                    room.free(spec, 1);
                } else if (attempt.live() && attempt.phase() != Attempt.Phase.INTENDED && attempt.phase() != Attempt.Phase.ORDERED) {
                    byId.put(attempt.ref.toString(), attempt);
                    victims.add(new Preemption.Victim(attempt.ref.toString(), spec, lostS(attempt, now)));
                }
            }
            places.add(new Preemption.Place(room, victims));
        }
        return places;
    }

    /** Whether some machine could have it running within the class's aim, but only without fetching the image. */
    private boolean mustBeWarm(JobSpec job) {
        double slowest = types.all().stream().mapToDouble(MachineType::fetchGbPerS).filter(rate -> rate > 0).min().orElse(Double.POSITIVE_INFINITY);
        return job.imageGb() / slowest > settings.waitAim(job.workload()) / 2;
    }

    private Map<String, Share> shares() {
        Map<String, Share> shares = new HashMap<>();
        Map<String, double[]> used = new HashMap<>();
        for (Attempt attempt : attempts.values()) {
            double[] sum = used.computeIfAbsent(attempt.job.spec.team(), t -> new double[2]);
            sum[0] += attempt.job.spec.cpus();
            sum[1] += attempt.job.spec.gpus();
        }
        settings.deployment().teams().forEach((name, team) -> {
            double[] sum = used.getOrDefault(name, new double[2]);
            shares.put(name, new Share(team, sum[0], sum[1]));
        });
        return shares;
    }

    private List<Want> wants(double now) {
        Map<String, Map<String, Integer>> zones = new HashMap<>();
        for (Attempt attempt : attempts.values()) {
            zones.computeIfAbsent(attempt.job.spec.id(), j -> new HashMap<>()).merge(attempt.machine.zone(), 1, Integer::sum);
        }
        List<Want> wants = new ArrayList<>();
        Map<String, Double> before = new HashMap<>();
        List<Job> order = new ArrayList<>(jobs.values());
        order.sort(Comparator.comparingDouble((Job j) -> j.submittedAt).thenComparing(j -> j.spec.id()));
        for (Job job : order) {
            if (job.end() != null) {
                continue;
            }
            Settings.Team team = settings.deployment().teams().get(job.spec.team());
            double cpus = before.merge(job.spec.team(), job.spec.tasks() * job.spec.cpus(), Double::sum);
            int waiting = job.waitingCount();
            if (waiting == 0 || team == null || job.notBefore() > now) {
                continue;
            }
            Set<String> avoid = new HashSet<>();
            for (Machine machine : fleet.machines()) {
                if (machine.keeps(job)) {
                    avoid.add(machine.name);
                }
            }
            Want want = new Want(job.spec, waiting, cpus <= team.cpus(), job.submittedAt,
                    zones.getOrDefault(job.spec.id(), new HashMap<>()), avoid);
            want.warmOnly(mustBeWarm(job.spec) && now - job.submittedAt < settings.waitAim(job.spec.workload()));
            wants.add(want);
        }
        return wants;
    }

    // ---- renting

    private void steer(double now) {
        intervalS = Math.max(intervalS, types.all().stream().mapToDouble(MachineType::bootS).max().orElse(0));
        List<Steering.Work> work = new ArrayList<>();
        Demand demand = new Demand();
        Map<Job, DoubleArrayList> running = new HashMap<>();
        for (Attempt attempt : attempts.values()) {
            if (attempt.running()) {
                running.computeIfAbsent(attempt.job, j -> new DoubleArrayList()).add(now - attempt.runningSince());
            }
        }
        Map<String, Double> left = new HashMap<>();
        settings.deployment().teams().forEach((name, team) -> left.put(name, team.cpusMax()));
        for (Attempt attempt : attempts.values()) {
            Job job = attempt.job;
            left.merge(job.spec.team(), -job.spec.cpus(), Double::sum);
            if (job.end() != null) {
                continue;
            }
            double ranS = attempt.running() ? now - attempt.runningSince() : 0;
            double remaining = Predictor.remaining(runTime(job, running), ranS) - intervalS;
            if (remaining > 0) {
                work.add(new Steering.Work(job.spec, remaining, new Pool(attempt.machine.type(), attempt.machine.spot())));
            }
            demand.add(job, ranS, now);
        }
        for (Job job : jobs.values()) {
            job.times.learn();
            int waiting = job.waitingCount();
            if (job.end() != null || waiting == 0 || job.notBefore() > now) {
                continue;
            }
            double runTime = runTime(job, running);
            // Tasks beyond the team's limit cannot run next; machines for them would stand idle.
            for (int i = 0; i < waiting && left.getOrDefault(job.spec.team(), 0.0) >= job.spec.cpus(); i++) {
                left.merge(job.spec.team(), -job.spec.cpus(), Double::sum);
                work.add(new Steering.Work(job.spec, runTime, null));
                demand.add(job, 0, now);
            }
        }
        ordinaryDemand.add(now, demand.ordinary);
        eagerDemand.add(now, demand.eager);
        patientDemand.add(now, demand.patient);
        double headroom = settings.operators().headroom();
        List<Steering.Offer> offers = offers(now);
        Map<Pool, Integer> targets = Steering.targets(offers, work, new Steering.Expected(
                ordinaryDemand.quantile(headroom), eagerDemand.quantile(headroom) + patientDemand.quantile(settings.operators().steady())),
                settings.operators().chargeS(), settings.operators().partlyShare());
        // What is asked for at this moment is no surplus, whatever was asked for of late; and a leader that has not yet
        // seen a whole unit knows neither run times nor demand.
        Map<Pool, Integer> needed = Steering.floor(offers, new Steering.Expected(demand.ordinary, demand.all));
        boolean seasoned = now - startedAt >= settings.operators().chargeS();
        LOG.debug("steering: demand {} {} {}, targets {}, offers {}", demand.ordinary, demand.eager, demand.patient, targets, offers);
        for (Steering.Offer offer : offers) {
            int target = targets.getOrDefault(offer.pool(), 0);
            if (target > offer.present()) {
                rent(offer.pool(), target - offer.present());
            }
            // To rent again costs a boot; a surplus must have stood that long before returning it can pay.
            DemandWindow kept = wanted.computeIfAbsent(offer.pool(), p -> new DemandWindow(offer.bootS()));
            kept.add(now, Math.max(target, needed.get(offer.pool())));
            int most = (int) kept.quantile(1);
            if (seasoned && most < offer.present()) {
                shrink(offer.pool(), offer.present() - most, now);
            }
        }
    }

    /** WIRE's prediction for a task of the job; a replica has no end in sight. */
    private static double runTime(Job job, Map<Job, DoubleArrayList> running) {
        return job.spec.service() ? Double.POSITIVE_INFINITY : Predictor.runTime(job.times,
                running.getOrDefault(job, new DoubleArrayList()), true, OptionalDouble.empty());
    }

    /** CPUs asked for at this moment, by what they can wait for. */
    private final class Demand {
        double ordinary;
        double eager;
        double patient;
        double all;

        /**
         * Work that can wait counts by the part that it would fill of the time left for it: until its class should be
         * complete, with a reserve, and no longer than a charging unit, by which WIRE counts machines.
         */
        void add(Job of, double ranS, double now) {
            JobSpec job = of.spec;
            if (!job.spot()) {
                ordinary += job.cpus();
                return;
            }
            all += job.cpus();
            if (Double.isInfinite(settings.waitAim(job.workload()))) {
                double left = Predictor.remaining(classTimes.expected(job.workload(), job.expectedS()), ranS);
                double age = now - of.submittedAt;
                double time = Math.min(settings.operators().chargeS(), AIM_RESERVE * settings.finishAim(job.workload(), age + left) - age);
                patient += job.cpus() * Math.min(1, left / Math.max(left, time));
            } else {
                eager += job.cpus();
            }
        }
    }

    private List<Steering.Offer> offers(double now) {
        Map<Pool, Integer> present = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            // A silent machine is not counted on: what takes its place boots meanwhile.
            boolean coming = machine.up() ? machine.silentFor(now) <= silentS() : now - machine.rentedAt() <= bootLimit(machine);
            if (!machine.releasing() && !machine.draining() && coming) {
                present.merge(new Pool(machine.type(), machine.spot()), 1, Integer::sum);
            }
        }
        List<Steering.Offer> offers = new ArrayList<>();
        for (MachineType type : types.all()) {
            for (boolean spot : new boolean[] {false, true}) {
                Pool pool = new Pool(type.name(), spot);
                boolean open = type.zones().stream().anyMatch(zone -> renting.open(pool, zone));
                offers.add(new Steering.Offer(pool, type.cpus(), type.gpus(), type.memGb(), type.price(spot), type.bootS(),
                        present.getOrDefault(pool, 0) + renting.underWay(pool), open));
            }
        }
        return offers;
    }

    /** One batched call for each zone, so that the zones that still give machines come to about the same number. */
    private void rent(Pool pool, int count) {
        Map<String, Integer> perZone = new HashMap<>();
        for (Machine machine : fleet.machines()) {
            if (machine.type().equals(pool.type()) && machine.spot() == pool.spot()) {
                perZone.merge(machine.zone(), 1, Integer::sum);
            }
        }
        List<String> zones = types.get(pool.type()).zones().stream().filter(z -> renting.open(pool, z)).sorted().toList();
        if (zones.isEmpty()) {
            return;
        }
        Map<String, Integer> shares = new LinkedHashMap<>();
        for (int i = 0; i < count; i++) {
            String zone = zones.stream().min(Comparator.comparingInt(z -> perZone.getOrDefault(z, 0))).orElseThrow();
            perZone.merge(zone, 1, Integer::sum);
            shares.merge(zone, 1, Integer::sum);
        }
        shares.forEach((zone, n) -> renting.rent(pool, zone, n));
    }

    /** WIRE's algorithm 2: of a surplus those go whose charge ends within the interval and that are cheap to restart. */
    private void shrink(Pool pool, int surplus, double now) {
        double unit = settings.operators().chargeS();
        fleet.machines().stream()
                .filter(m -> m.up() && !m.releasing() && !m.draining() && m.type().equals(pool.type()) && m.spot() == pool.spot())
                .filter(m -> unit - (now - m.rentedAt()) <= Math.min(intervalS, reportS))
                .filter(m -> restartCost(m, now) <= settings.operators().restartShare() * unit && !holdsReplica(m))
                .sorted(Comparator.comparingDouble((Machine m) -> restartCost(m, now)).thenComparing(m -> m.name))
                .limit(surplus).toList()
                .forEach(m -> renting.release(m, "surplus"));
    }

    private static boolean holdsReplica(Machine machine) {
        return machine.attempts().stream().anyMatch(a -> a.live() && a.job.spec.service());
    }

    private static double restartCost(Machine machine, double now) {
        double cost = 0;
        for (Attempt attempt : machine.attempts()) {
            if (attempt.live()) {
                cost = Math.max(cost, lostS(attempt, now));
            }
        }
        return cost;
    }

    /** Seconds run since its last checkpoint or its start, which stopping it at once would throw away. */
    private static double lostS(Attempt attempt, double now) {
        if (!attempt.running()) {
            return 0;
        }
        double ran = now - attempt.runningSince();
        return attempt.job.spec.saves() ? ran % attempt.job.spec.checkpointEveryS() : ran;
    }

    // ---- what operators see

    /** A line for the log: machines, attempts, queues and what has been waiting to be written. */
    String summary() {
        int waiting = jobs.values().stream().filter(j -> j.end() == null).mapToInt(Job::waitingCount).sum();
        return "machines " + fleet.census(loop.now(), 2 * reportS) + ", jobs " + jobs.size() + ", attempts " + attempts.size()
                + ", waiting tasks " + waiting + ", writes waiting " + writer.waiting();
    }

    void describe(ObjectNode node) {
        double now = loop.now();
        ArrayNode machines = node.putArray("machines");
        for (Machine machine : fleet.machines()) {
            MachineType type = types.get(machine.type());
            ObjectNode line = machines.addObject().put("name", machine.name).put("type", machine.type()).put("zone", machine.zone())
                    .put("spot", machine.spot())
                    .put("state", machine.releasing() ? "releasing" : !machine.up() ? "awaited" : machine.draining() ? "draining"
                            : machine.silentFor(now) > 2 * reportS ? "silent" : "up")
                    .put("tasks", machine.attempts().stream().filter(Attempt::live).count());
            if (type != null) {
                line.put("freeCpus", machine.freeCpus(type));
            }
        }
        ArrayNode teams = node.putArray("teams");
        Map<String, Share> shares = shares();
        shares.keySet().stream().sorted().forEach(name -> {
            Settings.Team team = settings.deployment().teams().get(name);
            int waiting = jobs.values().stream().filter(j -> j.end() == null && j.spec.team().equals(name)).mapToInt(Job::waitingCount).sum();
            teams.addObject().put("name", name).put("cpus", shares.get(name).cpus()).put("guaranteed", team.cpus())
                    .put("most", team.cpusMax()).put("waitingTasks", waiting);
        });
        ArrayNode queue = node.putArray("waiting");
        for (Want want : wants(now)) {
            Job job = jobs.get(want.job().id());
            boolean limited = shares.get(job.spec.team()).cpus() + job.spec.cpus() > settings.deployment().teams().get(job.spec.team()).cpusMax();
            queue.addObject().put("job", job.spec.id()).put("team", job.spec.team()).put("tasks", want.waiting())
                    .put("why", limited ? "the team's limit" : !types.known() ? "the machine types are not known" : "no machine has room");
        }
    }
}
