package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.Json;
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
final class SimMachines implements WorkerStandIn.TaskOracle, CloudStandIn.Machines {

    static final double CPUS = 8;
    private static final double ROUNDING_TOLERANCE = 1e-6;
    private static final WorkerStandIn.WorkerConfig WORKER_CONFIG =
            new WorkerStandIn.WorkerConfig(
                    List.of("node-0", "node-1", "node-2"),
                    List.of("10.0.0.1:8080", "10.0.0.2:8080", "10.0.0.3:8080"),
                    SimulatedRegion.HEARTBEAT_INTERVAL_S,
                    SimulatedRegion.LEASE_S);

    /** Until when orders to a machine are held back, and for how many seconds each. */
    private record OrderDelay(double until, double forS) {}

    private final SimWorld world;
    private final List<String> violations;
    private final Map<String, SimJob> jobs;
    private final PipelineRules rules;
    private final Map<String, WorkerStandIn> workers = new TreeMap<>();
    private final Set<String> deleted = new HashSet<>();
    private final Map<String, Double> sendFailureUntil = new HashMap<>();
    private final Map<String, OrderDelay> orderDelays = new HashMap<>();
    private int port = 9000;
    private double slowBootsUntil;
    private double bootFactor;
    private double bootFailureShare;

    /** Told of every report that leaves a machine. */
    Consumer<byte[]> onHeartbeatSent = body -> {};

    /** Told of every order that a worker carries out. */
    Consumer<Decision> decided = decision -> {};

    /** Told of every job whose last task has ended. */
    Consumer<SimJob> onJobCompleted = job -> {};

    int taskStarts;
    int lostTasks;

    SimMachines(
            SimWorld world,
            List<String> violations,
            Map<String, SimJob> jobs,
            PipelineRules rules) {
        this.world = world;
        this.violations = violations;
        this.jobs = jobs;
        this.rules = rules;
    }

    List<WorkerStandIn> all() {
        return List.copyOf(workers.values());
    }

    int runningTasks() {
        return jobs.values().stream().mapToInt(job -> job.workersByTask.size()).sum();
    }

    // ---- machines come and go

    @Override
    public void boot(String name, String type, String zone, boolean spot) {
        String address = "10.1.0.1:" + port++;
        boolean fault = world.now() < slowBootsUntil;
        if (fault && world.random.nextDouble() < bootFailureShare) {
            return;
        }
        world.after(
                (1 + 5 * world.random.nextDouble()) * (fault ? bootFactor : 1),
                () -> startWorker(name, type, zone, spot, address));
    }

    /**
     * Machines that are rented until then take so many times as long to boot, and that part of them
     * never comes up.
     */
    void slowBoots(double factor, double never, double until) {
        slowBootsUntil = until;
        bootFactor = factor;
        bootFailureShare = never;
    }

    @Override
    public void delete(String name) {
        deleted.add(name);
        WorkerStandIn worker = workers.remove(name);
        if (worker != null) {
            worker.losePower();
        }
    }

    /** The machine loses power and is back at once, with a worker that knows nothing of before. */
    void reboot(WorkerStandIn worker) {
        worker.losePower();
        world.after(
                0.3,
                () ->
                        startWorker(
                                worker.name,
                                worker.type,
                                worker.zone,
                                worker.spot,
                                worker.address));
    }

    private void startWorker(String name, String type, String zone, boolean spot, String address) {
        if (deleted.contains(name)) {
            return;
        }
        WorkerStandIn worker =
                new WorkerStandIn(
                        new WorkerStandIn.MachineIdentity(name, type, zone, spot, address),
                        WORKER_CONFIG,
                        world::now,
                        heartbeatSender(name),
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
                            Consumer<HttpReply> answer) {
                        OrderDelay hold = orderDelays.get(name);
                        if (hold != null && world.now() < hold.until && path.equals("/orders")) {
                            world.after(hold.forS, () -> deliver(worker, path, body, answer));
                        } else {
                            deliver(worker, path, body, answer);
                        }
                    }

                    @Override
                    public boolean alive() {
                        return worker.isAlive();
                    }
                });
    }

    private void deliver(
            WorkerStandIn worker, String path, byte[] body, Consumer<HttpReply> answer) {
        if (worker.isHung()) {
            world.after(1, () -> deliver(worker, path, body, answer));
        } else if (worker.isAlive() && !worker.isReceiveFailing()) {
            worker.handle(path, body, answer);
        }
    }

    /** A worker's way to the controllers. */
    private HttpSender heartbeatSender(String name) {
        HttpSender out = world.from(name);
        return (request, onOutcome) -> {
            if (world.now() < sendFailureUntil.getOrDefault(name, 0.0)) {
                // No connection comes about, and one that was given up never does later.
                world.after(
                        request.deadlineMs() / 1000.0,
                        () -> onOutcome.accept(new HttpOutcome.NotSent("no connection")));
                return;
            }
            onHeartbeatSent.accept(request.body());
            out.send(request, onOutcome);
        };
    }

    void failSending(WorkerStandIn worker, double until) {
        sendFailureUntil.merge(worker.name, until, Math::max);
    }

    void delayOrders(WorkerStandIn worker, double forS, double until) {
        orderDelays.put(worker.name, new OrderDelay(until, forS));
    }

    List<WorkerStandIn> choose(Fault.MachineSelector which) {
        List<WorkerStandIn> there =
                new ArrayList<>(
                        workers.values().stream()
                                .filter(WorkerStandIn::isAlive)
                                .filter(
                                        other ->
                                                which.zone() == null
                                                        || other.zone.equals(which.zone()))
                                .toList());
        Collections.shuffle(there, world.random);
        there.sort((a, b) -> Boolean.compare(b.isBusy(), a.isBusy()));
        int count =
                which.count() > 0 ? which.count() : (int) Math.ceil(which.share() * there.size());
        return there.subList(0, Math.min(count, there.size()));
    }

    void tick() {
        all().forEach(WorkerStandIn::tick);
    }

    // ---- what happens on them

    private SimJob jobOf(String task) {
        return jobs.get(SimJob.jobIdOf(task));
    }

    @Override
    public double runDurationS(String task) {
        SimJob job = jobOf(task);
        if (job == null) {
            return Double.NaN;
        }
        List<Double> times = job.plan.runDurationsS();
        return job.plan.service() ? -1 : times.get(SimJob.taskNumber(task) % times.size());
    }

    @Override
    public boolean failsAtEnd(String task) {
        return jobOf(task).plan.alwaysFails();
    }

    @Override
    public void decided(Decision decision) {
        decided.accept(decision);
    }

    @Override
    public boolean isDone(String task) {
        return jobOf(task).completedTasks.contains(SimJob.taskNumber(task));
    }

    @Override
    public void taskStarted(WorkerStandIn worker, String task) {
        SimJob job = jobOf(task);
        JobPlan plan = job.plan;
        taskStarts++;
        rules.checkTaskStart(job, task);
        WorkerStandIn other = job.workersByTask.put(SimJob.taskNumber(task), worker);
        if (other != null && other.isAlive()) {
            violation("ran_twice: " + task + " on " + other.name + " and " + worker.name);
        }
        if (worker.spot && !plan.spot()) {
            violation("wrong_place: " + task + " on the spot machine " + worker.name);
        }
        if (plan.zone() != null && !plan.zone().equals(worker.zone)) {
            violation("wrong_place: " + task + " in " + worker.zone + ", wants " + plan.zone());
        }
        long here =
                job.workersByTask.values().stream()
                        .filter(near -> near.zone.equals(worker.zone))
                        .count();
        if (plan.spread() && here > (plan.tasks() + 1) / 2) {
            violation("wrong_place: " + here + " of " + plan.id() + " in " + worker.zone);
        }
        if (plan.oneZone() && here < job.workersByTask.size()) {
            violation(
                    "wrong_place: "
                            + task
                            + " in "
                            + worker.zone
                            + ", others of its job elsewhere");
        }
        double used = cpusUsedBy(plan.team());
        if (used > RegionSettings.limit(plan.team()) + ROUNDING_TOLERANCE) {
            violation("quota: " + plan.team() + " uses " + used + " with " + task);
        }
    }

    /** What tasks of that team take of the machines that they are on. */
    private double cpusUsedBy(String team) {
        return jobs.values().stream()
                .filter(job -> job.plan.team().equals(team))
                .mapToDouble(job -> job.workersByTask.size() * job.plan.cpus())
                .sum();
    }

    @Override
    public void taskEnded(WorkerStandIn worker, String task, boolean done) {
        SimJob job = jobOf(task);
        job.workersByTask.remove(SimJob.taskNumber(task), worker);
        lostTasks += done || job.cancelRequested ? 0 : 1;
        if (done && job.completedTasks.add(SimJob.taskNumber(task)) && job.isComplete()) {
            onJobCompleted.accept(job);
        }
    }

    private void violation(String what) {
        violations.add(world.now() + " " + what);
    }

    /**
     * A cancelled task counts until it has exited, was killed or its machine is gone; one on a
     * machine that hangs does too.
     */
    void check() {
        for (SimJob job : jobs.values()) {
            if (!job.runAfterCancelReported
                    && !job.workersByTask.isEmpty()
                    && world.now()
                            > rules.cancelledAt(job) + SimulatedRegion.CANCELLATION_DEADLINE_S) {
                violation(
                        "ran_cancelled: "
                                + job.plan.id()
                                + " "
                                + job.workersByTask.keySet()
                                + ", cancelled at "
                                + rules.cancelledAt(job));
                job.runAfterCancelReported = true;
            }
        }
    }

    /**
     * Whether one more task of that job could run now, on a machine that works and with the room
     * that its team has left.
     */
    boolean fits(SimJob job) {
        JobPlan plan = job.plan;
        if (cpusUsedBy(plan.team()) + plan.cpus()
                > RegionSettings.limit(plan.team()) + ROUNDING_TOLERANCE) {
            return false;
        }
        for (WorkerStandIn worker : workers.values()) {
            long here =
                    job.workersByTask.values().stream()
                            .filter(near -> near.zone.equals(worker.zone))
                            .count();
            boolean may =
                    (plan.spot() || !worker.spot)
                            && (plan.zone() == null || plan.zone().equals(worker.zone))
                            && !(plan.spread() && here >= (plan.tasks() + 1) / 2)
                            && !(plan.oneZone() && here < job.workersByTask.size());
            if (may && worker.isAlive() && freeCpus(worker) + ROUNDING_TOLERANCE >= plan.cpus()) {
                return true;
            }
        }
        return false;
    }

    private double freeCpus(WorkerStandIn worker) {
        return CPUS
                - worker.tasks().stream()
                        .map(this::jobOf)
                        .mapToDouble(job -> job == null ? 0 : job.plan.cpus())
                        .sum();
    }

    /** The report of an idle machine that there is not. */
    static byte[] madeUpHeartbeat(String zone, int serial) {
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
