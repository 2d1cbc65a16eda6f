package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Reply;
import io.pepperfield.http.Sender;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;

/** The rented machines: their boots, their links, and the rules that hold for what runs on them. */
final class SimMachines implements WorkerStandIn.Truth, CloudStandIn.Machines {

    static final double CPUS = 8;
    private static final double SLACK = 1e-6;
    private static final List<String> NAMES = List.of("node-0", "node-1", "node-2");
    private static final List<String> ADDRESSES =
            List.of("10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080");

    /** Until when orders to a machine are held back, and for how many seconds each. */
    private record Held(double until, double forS) {}

    private final SimWorld world;
    private final List<String> broken;
    private final Map<String, SimJob> jobs;
    private final PipelineRules rules;
    private final Map<String, WorkerStandIn> workers = new TreeMap<>();
    private final Set<String> deleted = new HashSet<>();
    private final Map<String, Double> mutedUntil = new HashMap<>();
    private final Map<String, Held> held = new HashMap<>();
    private int port = 9000;
    private double bootsUntil;
    private double bootFactor;
    private double neverBoots;

    /** Told of every report that leaves a machine. */
    Consumer<byte[]> reported = body -> {};

    /** Told of every order that a worker carries out. */
    Consumer<Decision> decided = decision -> {};

    /** Told of every job whose last task has ended. */
    Consumer<SimJob> completed = job -> {};

    int starts;
    int startsAfterCancel;
    int lostTasks;

    SimMachines(
            SimWorld world, List<String> broken, Map<String, SimJob> jobs, PipelineRules rules) {
        this.world = world;
        this.broken = broken;
        this.jobs = jobs;
        this.rules = rules;
    }

    List<WorkerStandIn> all() {
        return List.copyOf(workers.values());
    }

    int runningTasks() {
        return jobs.values().stream().mapToInt(job -> job.on.size()).sum();
    }

    // ---- machines come and go

    @Override
    public void boot(String name, String type, String zone, boolean spot) {
        String address = "10.1.0.1:" + port++;
        boolean trouble = world.now() < bootsUntil;
        if (trouble && world.random.nextDouble() < neverBoots) {
            return;
        }
        world.after(
                (1 + 5 * world.random.nextDouble()) * (trouble ? bootFactor : 1),
                () -> begin(name, type, zone, spot, address));
    }

    /**
     * Machines that are rented until then take so many times as long to boot, and that part of them
     * never comes up.
     */
    void boots(double factor, double never, double until) {
        bootsUntil = until;
        bootFactor = factor;
        neverBoots = never;
    }

    @Override
    public void delete(String name) {
        deleted.add(name);
        WorkerStandIn worker = workers.remove(name);
        if (worker != null) {
            worker.die();
        }
    }

    /** The machine loses power and is back at once, with a worker that knows nothing of before. */
    void reboot(WorkerStandIn worker) {
        worker.die();
        world.after(
                0.3,
                () -> begin(worker.name, worker.type, worker.zone, worker.spot, worker.address));
    }

    private void begin(String name, String type, String zone, boolean spot, String address) {
        if (deleted.contains(name)) {
            return;
        }
        WorkerStandIn worker =
                new WorkerStandIn(
                        name,
                        type,
                        zone,
                        spot,
                        address,
                        world::now,
                        reports(name),
                        NAMES,
                        ADDRESSES,
                        Region.REPORT_S,
                        Region.LEASE_S,
                        this);
        workers.put(name, worker);
        world.listen(
                address,
                new SimWorld.Host() {
                    @Override
                    public void request(
                            String from,
                            String method,
                            String path,
                            byte[] body,
                            Consumer<Reply> answer) {
                        Held hold = held.get(name);
                        if (hold != null && world.now() < hold.until && path.equals("/orders")) {
                            world.after(hold.forS, () -> deliver(worker, path, body, answer));
                        } else {
                            deliver(worker, path, body, answer);
                        }
                    }

                    @Override
                    public boolean alive() {
                        return worker.alive();
                    }
                });
    }

    private void deliver(WorkerStandIn worker, String path, byte[] body, Consumer<Reply> answer) {
        if (worker.hung()) {
            world.after(1, () -> deliver(worker, path, body, answer));
        } else if (worker.alive() && !worker.deaf()) {
            worker.handle(path, body, answer);
        }
    }

    /** A worker's way to the controllers. */
    private Sender reports(String name) {
        Sender out = world.from(name);
        return (host, at, connections, method, path, body, deadlineMs, done) -> {
            if (world.now() < mutedUntil.getOrDefault(name, 0.0)) {
                // No connection comes about, and one that was given up never does later.
                world.after(
                        deadlineMs / 1000.0,
                        () -> done.accept(new Outcome.NotSent("no connection")));
                return;
            }
            reported.accept(body);
            out.send(host, at, connections, method, path, body, deadlineMs, done);
        };
    }

    void mute(WorkerStandIn worker, double until) {
        mutedUntil.merge(worker.name, until, Math::max);
    }

    void holdCommands(WorkerStandIn worker, double forS, double until) {
        held.put(worker.name, new Held(until, forS));
    }

    List<WorkerStandIn> choose(Trouble.Machines which) {
        List<WorkerStandIn> there =
                new ArrayList<>(
                        workers.values().stream()
                                .filter(WorkerStandIn::alive)
                                .filter(w -> which.zone() == null || w.zone.equals(which.zone()))
                                .toList());
        Collections.shuffle(there, world.random);
        there.sort((a, b) -> Boolean.compare(b.busy(), a.busy()));
        int count =
                which.count() > 0 ? which.count() : (int) Math.ceil(which.share() * there.size());
        return there.subList(0, Math.min(count, there.size()));
    }

    void tick() {
        all().forEach(WorkerStandIn::tick);
    }

    // ---- what happens on them

    private SimJob of(String task) {
        return jobs.get(SimJob.idOf(task));
    }

    @Override
    public double runS(String task) {
        SimJob job = of(task);
        if (job == null) {
            return Double.NaN;
        }
        List<Double> times = job.plan.runS();
        return job.plan.service() ? -1 : times.get(SimJob.number(task) % times.size());
    }

    @Override
    public boolean fails(String task) {
        return of(task).plan.mistaken();
    }

    @Override
    public void decided(Decision decision) {
        decided.accept(decision);
    }

    @Override
    public boolean isDone(String task) {
        return of(task).completed.contains(SimJob.number(task));
    }

    @Override
    public void begins(WorkerStandIn worker, String task) {
        SimJob job = of(task);
        JobPlan plan = job.plan;
        starts++;
        if (!Double.isNaN(job.cancelledAt)) {
            startsAfterCancel++;
        }
        rules.begins(job, task);
        WorkerStandIn other = job.on.put(SimJob.number(task), worker);
        if (other != null && other.alive()) {
            says("ran_twice: " + task + " on " + other.name + " and " + worker.name);
        }
        if (worker.spot && !plan.spot()) {
            says("wrong_place: " + task + " on the spot machine " + worker.name);
        }
        if (plan.zone() != null && !plan.zone().equals(worker.zone)) {
            says("wrong_place: " + task + " in " + worker.zone + ", wants " + plan.zone());
        }
        long here = job.on.values().stream().filter(w -> w.zone.equals(worker.zone)).count();
        if (plan.spread() && here > (plan.tasks() + 1) / 2) {
            says("wrong_place: " + here + " of " + plan.id() + " in " + worker.zone);
        }
        if (plan.together() && here < job.on.size()) {
            says("wrong_place: " + task + " in " + worker.zone + ", others of its job elsewhere");
        }
        double used = used(plan.team());
        if (used > RegionSettings.limit(plan.team()) + SLACK) {
            says("quota: " + plan.team() + " uses " + used + " with " + task);
        }
    }

    /** What tasks of that team take of the machines that they are on. */
    private double used(String team) {
        return jobs.values().stream()
                .filter(job -> job.plan.team().equals(team))
                .mapToDouble(job -> job.on.size() * job.plan.cpus())
                .sum();
    }

    @Override
    public void ends(WorkerStandIn worker, String task, boolean done) {
        SimJob job = of(task);
        job.on.remove(SimJob.number(task), worker);
        lostTasks += done || job.cancelAsked ? 0 : 1;
        if (done && job.completed.add(SimJob.number(task)) && job.complete()) {
            completed.accept(job);
        }
    }

    private void says(String what) {
        broken.add(world.now() + " " + what);
    }

    /**
     * A cancelled task counts until it has exited, was killed or its machine is gone; one on a
     * machine that hangs does too.
     */
    void check() {
        for (SimJob job : jobs.values()) {
            if (!job.saidRanCancelled
                    && !job.on.isEmpty()
                    && world.now() > rules.cancelledAt(job) + Region.CANCEL_S) {
                says(
                        "ran_cancelled: "
                                + job.plan.id()
                                + " "
                                + job.on.keySet()
                                + ", cancelled at "
                                + rules.cancelledAt(job));
                job.saidRanCancelled = true;
            }
        }
    }

    /**
     * Whether one more task of that job could run now, on a machine that works and with the room
     * that its team has left.
     */
    boolean fits(SimJob job) {
        JobPlan plan = job.plan;
        if (used(plan.team()) + plan.cpus() > RegionSettings.limit(plan.team()) + SLACK) {
            return false;
        }
        for (WorkerStandIn worker : workers.values()) {
            long here = job.on.values().stream().filter(w -> w.zone.equals(worker.zone)).count();
            boolean may =
                    (plan.spot() || !worker.spot)
                            && (plan.zone() == null || plan.zone().equals(worker.zone))
                            && !(plan.spread() && here >= (plan.tasks() + 1) / 2)
                            && !(plan.together() && here < job.on.size());
            if (may && worker.alive() && free(worker) + SLACK >= plan.cpus()) {
                return true;
            }
        }
        return false;
    }

    private double free(WorkerStandIn worker) {
        return CPUS
                - worker.tasks().stream()
                        .map(this::of)
                        .mapToDouble(job -> job == null ? 0 : job.plan.cpus())
                        .sum();
    }

    /** The report of an idle machine that there is not. */
    static byte[] madeUpReport(String zone, int serial) {
        JsonNode report =
                Json.object()
                        .put("host", "made-up-" + zone)
                        .put("addr", "10.9.0.1:1")
                        .put("flavour", "box")
                        .put("site", zone)
                        .put("reclaimable", false)
                        .put("tenure", 1)
                        .put("serial", serial)
                        .put("epoch", 0)
                        .putNull("warningS")
                        .set("shards", Json.array());
        return Json.write(report);
    }
}
