package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.peer.Partitions;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import java.util.stream.Collectors;

/**
 * A simulated region: three real controllers over stand-ins of everything else, in simulated time.
 * Every rule of the protocol is checked as things happen; what breaks one is kept in {@link
 * #violations}.
 */
public final class SimulatedRegion {

    public static final double HEARTBEAT_INTERVAL_S = 1;
    public static final double LEASE_S = 6;
    public static final double CANCELLATION_DEADLINE_S = 20;
    private static final int FEW_NODES = 3;

    private static final int FEW_MACHINES = 14;

    /** As many as a rollout is tried with. */
    private static final int MANY_NODES = 5;

    /** Answers a simulated node's requests. */
    private interface Handler {
        void handle(String from, InboundRequest call, Consumer<HttpReply> answer);
    }

    public final SimWorld world;
    public final List<String> violations = new ArrayList<>();
    public final Pipelines pipelines;
    public final JobMix jobMix;
    public final AdmissionLoad admissionLoad;
    public final NetworkPartitions networkCuts;
    public final DecisionLog decisions;
    final StoreStandIn store;
    final StoreLink storeLink;
    final HeartbeatReplays heartbeatReplays;
    public final SimOperator operator;
    private final CloudStandIn cloud;
    private final List<SimNode> nodes = new ArrayList<>();
    private final SimMachines machines;
    private final SimUsers users;
    private final FaultInjector faultInjector;
    private double storeOutageUntil;
    private double cloudOutageUntil;
    private long lastGrant;
    private int lastLeader;
    private int madeUpHeartbeats;
    private int leaderChanges;

    public SimulatedRegion(long seed) {
        this(seed, Version.CURRENT, RegionSettings.LIMITS_NOW, FEW_NODES, FEW_MACHINES);
    }

    /** A region of so many controllers that divide admission, without the last few. */
    public static SimulatedRegion admitting(long seed, int nodes, int without) {
        return new SimulatedRegion(
                seed,
                Version.CURRENT,
                RegionSettings.LIMITS_NOW,
                nodes,
                FEW_MACHINES,
                index -> index < nodes - without ? Set.of(Feature.ADMISSION) : Set.of());
    }

    /** A region that has so many machines to rent. */
    public static SimulatedRegion large(long seed, int machinesToRent) {
        return new SimulatedRegion(
                seed, Version.CURRENT, RegionSettings.LIMITS_LARGE, FEW_NODES, machinesToRent);
    }

    /** A region of five controllers that know stored-state versions, or are going to. */
    public static SimulatedRegion beforeRollout(long seed, Version version) {
        SimulatedRegion region =
                new SimulatedRegion(
                        seed, version, RegionSettings.LIMITS_NEXT, MANY_NODES, FEW_MACHINES);
        region.store.rolloutRules = new RolloutRules(region.world::now, region.violations);
        return region;
    }

    /** A region before its upgrade: the recorded version runs, and the limits are going to fall. */
    public static SimulatedRegion beforeUpgrade(long seed) {
        return new SimulatedRegion(
                seed, Version.RECORDED, RegionSettings.LIMITS_NEXT, FEW_NODES, FEW_MACHINES);
    }

    /**
     * @param next the limits that this version knows of
     */
    private SimulatedRegion(
            long seed, Version version, Settings.StoreLimits next, int nodeCount, int capacity) {
        this(seed, version, next, nodeCount, capacity, index -> Set.of());
    }

    private SimulatedRegion(
            long seed,
            Version version,
            Settings.StoreLimits next,
            int nodeCount,
            int capacity,
            IntFunction<Set<Feature>> features) {
        world = new SimWorld(seed);
        decisions = new DecisionLog(world::now);
        store = new StoreStandIn(world::now, 10_000);
        store.violations = violations;
        store.decided = decisions::add;
        store.limits =
                new StoreLimitsStandIn(
                        next == RegionSettings.LIMITS_LARGE ? next : RegionSettings.LIMITS_NOW,
                        world.now());
        storeLink = new StoreLink(world, store);
        Map<String, SimJob> submitted = new LinkedHashMap<>();
        PipelineRules rules = new PipelineRules(world, violations, submitted, this::durablyDone);
        machines = new SimMachines(world, violations, submitted, rules);
        users = new SimUsers(world, violations, machines, submitted, rules, nodeCount);
        jobMix = new JobMix(world, users);
        admissionLoad = new AdmissionLoad(world, users, nodes);
        networkCuts = new NetworkPartitions(world, machines, nodeCount);
        pipelines = new Pipelines(world, users, jobMix::team);
        faultInjector = new FaultInjector(this, machines, users);
        heartbeatReplays = new HeartbeatReplays(world, nodes);
        machines.onHeartbeatSent = heartbeatReplays::reported;
        machines.decided = decisions::add;
        cloud = new CloudStandIn(world::now, capacity, machines);
        cloud.decided = decisions::add;
        world.listen("10.2.0.1:2379", host(storeLink::handle));
        world.listen(
                "10.2.0.2:8443", host((from, call, answer) -> answer.accept(cloud.handle(call))));
        operator = new SimOperator(world, nodes);
        for (int i = 0; i < nodeCount; i++) {
            int index = i;
            SimNode node =
                    new SimNode(
                            i,
                            world,
                            version,
                            of ->
                                    RegionSettings.of(
                                            index,
                                            nodeCount,
                                            of == Version.RECORDED
                                                    ? RegionSettings.LIMITS_NOW
                                                    : next,
                                            features.apply(index)),
                            violations);
            nodes.add(node);
            world.listen("10.0.0." + (i + 1) + ":8080", node);
            world.listen("10.0.0." + (i + 1) + ":8081", node.peerSide());
            node.start();
        }
        everySoOften(
                0.05,
                () -> {
                    store.tick();
                    machines.tick();
                    machines.check();
                    watchLeader();
                });
        everySoOften(1, users::check);
    }

    private static SimWorld.Host host(Handler handler) {
        return new SimWorld.Host() {
            @Override
            public void request(
                    String from,
                    String method,
                    String path,
                    byte[] body,
                    Consumer<HttpReply> answer) {
                handler.handle(from, SimWorld.call(method, path, body), answer);
            }

            @Override
            public boolean alive() {
                return true;
            }
        };
    }

    private void everySoOften(double seconds, Runnable run) {
        world.after(
                seconds,
                () -> {
                    run.run();
                    everySoOften(seconds, run);
                });
    }

    // ---- scenarios

    /** Plans a scenario's jobs and troubles; to be run until {@link Scenario#endsAt}. */
    public void play(Scenario scenario) {
        for (int i = 0; i < scenario.jobs(); i++) {
            int number = i + 1;
            world.at(
                    Scenario.FIRST_JOB_S + i * scenario.everyS(),
                    () -> jobMix.submitOneOfAll(number));
        }
        scenario.faults()
                .forEach(
                        planned ->
                                world.at(
                                        planned.at(), () -> faultInjector.inject(planned.fault())));
        users.calmAt = scenario.calmAt();
    }

    // ---- users

    /** Writes a key as a controller of another release would. */
    public void write(String key, JsonNode data) {
        ObjectNode body = Json.object();
        body.putArray("guards");
        body.putArray("apply").addObject().put("set", key).set("data", data);
        store.handle(SimWorld.call("POST", "/txn", Json.write(body)), reply -> {});
    }

    /** Submits a small job once, at that node and without the network between. */
    public void submitAt(int node, int number, Consumer<HttpReply> answer) {
        JobPlan plan = JobPlan.array(number, "batch", "red", "standard", 1, 1, List.of(1.0), true);
        nodes.get(node).request("users", "POST", "/api/jobs", Json.write(plan.body()), answer);
    }

    /** Asks about a job that nobody submitted. */
    public void queryUnknownJob() {
        users.invalidRequests.queryUnknownJob();
    }

    /** Users ask eight times as often until then. */
    public void queryMoreOften(double until) {
        users.queryMoreOften(until);
    }

    /** Every user whose job is not over cancels it now. */
    public void cancelAll() {
        users.cancelAll();
    }

    // ---- troubles

    /** One trouble drawn from the seed. */
    public void injectRandomFault() {
        new RandomFault(this, machines).inject();
    }

    /**
     * Machines that are rented until then take so many times as long to boot, and that part of them
     * never comes up.
     */
    public void slowBoots(double factor, double never, double until) {
        machines.slowBoots(factor, never, until);
    }

    public void crash(int index, double forS) {
        nodes.get(index).crash(forS);
    }

    /** The process stands still while its clocks run on; what comes for it waits. */
    public void pause(int index, double until) {
        nodes.get(index).pause(until);
    }

    /** A third of the machines hang, as when a rack stands still. */
    public void hangSomeMachines(double until) {
        machines.all().stream()
                .filter(w -> world.random.nextInt(3) == 0)
                .forEach(w -> w.hang(until));
    }

    /**
     * The leader ends for good, and until then nobody else can be elected, although the state
     * service answers.
     */
    public void preventElection(double until) {
        int leader = leaderIndex();
        store.grantsStalled = true;
        crash(leader, until - world.now());
        world.at(until, () -> store.grantsStalled = false);
    }

    public void storeOutage(double until) {
        store.outage(true);
        storeOutageUntil = Math.max(storeOutageUntil, until);
        world.at(
                until,
                () -> {
                    if (world.now() >= storeOutageUntil) {
                        store.outage(false);
                    }
                });
    }

    /** From now on the state service has its lower limits. */
    public void reduceStoreLimits() {
        store.limits = new StoreLimitsStandIn(RegionSettings.LIMITS_NEXT, world.now());
    }

    /** Until then every request about grants is refused as beyond the rate. */
    public void refuseGrants(double until) {
        store.grantsRefusedUntil = Math.max(store.grantsRefusedUntil, until);
    }

    /** Ends a controller's process, which comes back as that version. */
    public void replace(int index, Version by, double downS) {
        nodes.get(index).replace(by, downS);
    }

    void cloudOutage(double until) {
        cloud.outage(true);
        cloudOutageUntil = Math.max(cloudOutageUntil, until);
        world.at(
                until,
                () -> {
                    if (world.now() >= cloudOutageUntil) {
                        cloud.outage(false);
                    }
                });
    }

    // ---- who leads

    /** The name of the node that leads, as the durable key has it, or empty. */
    public String leader() {
        JsonNode key = leaderKey();
        return key == null ? "" : key.path("node").asText();
    }

    /** The leader key that is in use, or null where nobody leads. */
    private JsonNode leaderKey() {
        JsonNode first = store.get("pepperfield/leader");
        return RolloutRules.isFence(first) ? store.get("pepperfield/v2/leader") : first;
    }

    /** How many machines are in that node's partition while all take part. */
    public long partitionSize(int index) {
        Set<String> all =
                nodes.stream().map(node -> "node-" + node.index).collect(Collectors.toSet());
        return machines.all().stream()
                .filter(w -> Partitions.owner(w.name, all).equals("node-" + index))
                .count();
    }

    /** How many controllers there are. */
    int nodeCount() {
        return nodes.size();
    }

    /** Which of the nodes leads. */
    public int leaderIndex() {
        return Integer.parseInt(leader().substring(5));
    }

    /** How often another leadership has begun. */
    public int leaderChanges() {
        return leaderChanges;
    }

    /** Whether every controller runs this version, or will once it is started. */
    public boolean upgraded() {
        return allRun(Version.CURRENT);
    }

    /** Whether every controller runs that version, or will once it is started. */
    public boolean allRun(Version version) {
        return nodes.stream().allMatch(node -> node.version() == version);
    }

    /** Which of the nodes leads, or led last. */
    int lastLeader() {
        return lastLeader;
    }

    private void watchLeader() {
        JsonNode key = leaderKey();
        if (key != null && key.path("grant").longValue() != lastGrant) {
            lastGrant = key.path("grant").longValue();
            lastLeader = leaderIndex();
            leaderChanges++;
            heartbeatReplays.newLeader();
        }
    }

    // ---- what can be seen of it

    /** Machines rented so far, whether they are still there or not. */
    public int rentals() {
        return cloud.rentals();
    }

    /** How often a task has begun on a machine so far. */
    public int taskStarts() {
        return machines.taskStarts;
    }

    /**
     * How often a task has begun after its user was told that its job is cancelled: commands under
     * way may do that for a while.
     */
    public int taskStartsAfterCancel() {
        return machines.taskStartsAfterCancel;
    }

    /** Changes that the state service has taken so far. */
    public int storedMutations() {
        return store.mutations;
    }

    /** Bytes of all values that the state service has taken so far. */
    public long bytesWritten() {
        return store.bytesWritten;
    }

    /** Tasks that were killed with their machine or its lease, or stopped for others. */
    public int lostTasks() {
        return machines.lostTasks;
    }

    public List<WorkerStandIn> machines() {
        return machines.all();
    }

    public int accepted() {
        return (int) users.jobs.values().stream().filter(j -> j.accepted).count();
    }

    public int runningTasks() {
        return machines.runningTasks();
    }

    /** The durable record under a key, or null. */
    public JsonNode durable(String key) {
        return store.get(key);
    }

    private boolean durablyDone(String id) {
        JsonNode end = store.get("pepperfield/end/" + id);
        return end != null && end.path("s").asText().equals("done");
    }

    public List<String> reusedRentalNames() {
        return cloud.reusedNames;
    }

    /**
     * What a node answers, without the network between; null where it has said nothing within two
     * seconds.
     */
    public HttpReply answer(int node, String method, String path) {
        return answer(node, method, path, null);
    }

    /**
     * So many questions at once about jobs that nobody submitted: how many got 404, and how many
     * were told to come back.
     */
    public List<Integer> floodWithUnknownJobs(int node, int questions) {
        int[] got = new int[600];
        for (int i = 0; i < questions; i++) {
            nodes.get(node)
                    .request(
                            "users",
                            "GET",
                            "/api/jobs/run-9" + (10_000 + i),
                            null,
                            reply -> got[reply.status()]++);
        }
        world.run(world.now() + 2);
        return List.of(got[404], got[503]);
    }

    /** What a node answers to the report of an idle machine of that zone, of which there is one. */
    public HttpReply sendHeartbeat(int node, String zone) {
        return answer(
                node, "POST", "/agent/beat", SimMachines.madeUpHeartbeat(zone, ++madeUpHeartbeats));
    }

    private HttpReply answer(int node, String method, String path, byte[] body) {
        HttpReply[] got = new HttpReply[1];
        nodes.get(node).request("users", method, path, body, reply -> got[0] = reply);
        for (int step = 0; step < 40 && got[0] == null; step++) {
            world.run(world.now() + 0.05);
        }
        return got[0];
    }

    /** Accepted jobs whose prerequisites are not durable. */
    public List<String> alteredJobs() {
        List<String> altered = new ArrayList<>();
        users.jobs.values().stream()
                .filter(job -> job.accepted)
                .filter(job -> !job.plan.dependencies().equals(store.dependencies(job.plan.id())))
                .forEach(job -> altered.add(job.plan.id()));
        return altered;
    }

    /** How many transactions were refused for their size since the limits last changed. */
    public int refusedForSize() {
        return store.limits.malformed;
    }

    // ---- what is left at the end

    /**
     * Asks every node about every accepted job; what was not answered with 200 within the time that
     * users wait.
     */
    public List<String> unansweredQueries() {
        world.messageLossShare = 0;
        world.lateDeliveryShare = 0;
        return users.unansweredQueries();
    }

    /** Jobs that should be over by now and are not, as their users see it. */
    public List<String> unfinishedJobs() {
        return users.unfinishedJobs();
    }

    /**
     * Accepted jobs that are neither over nor running, and those that waited for 90 s of calm
     * though there was room for them.
     */
    public List<String> leftoverJobs() {
        return users.leftoverJobs();
    }
}
