package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.peer.Partitions;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
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
        void handle(String from, InboundRequest request, Consumer<HttpReply> answer);
    }

    public final SimWorld world;
    public final List<String> violations = new ArrayList<>();
    public final Pipelines pipelines;
    public final JobMix jobMix;
    public final AdmissionLoad admissionLoad;
    public final NetworkPartitions networkPartitions;
    public final DecisionLog decisions;
    final StoreStandIn store;
    final StoreLink storeLink;
    final HeartbeatReplays heartbeatReplays;
    public final SimOperator operator;
    public final RegionFaults faults;
    public final DirectRequests directRequests;
    private final CloudStandIn cloud;
    private final List<SimNode> nodes = new ArrayList<>();
    private final SimMachines machines;
    private final SimUsers users;
    private final FaultInjector faultInjector;
    private final LeaderWatch leaderWatch;

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
        networkPartitions = new NetworkPartitions(world, machines, nodeCount);
        pipelines = new Pipelines(world, users, jobMix::team);
        faultInjector = new FaultInjector(this, machines, users);
        heartbeatReplays = new HeartbeatReplays(world, nodes);
        machines.onHeartbeatSent = heartbeatReplays::reported;
        machines.decided = decisions::add;
        cloud = new CloudStandIn(world::now, capacity, machines);
        cloud.decided = decisions::add;
        faults = new RegionFaults(this, machines, nodes, cloud);
        directRequests = new DirectRequests(world, store, nodes);
        leaderWatch = new LeaderWatch(store, heartbeatReplays::newLeader);
        world.listen("10.2.0.1:2379", host(storeLink::handle));
        world.listen(
                "10.2.0.2:8443",
                host((from, request, answer) -> answer.accept(cloud.handle(request))));
        operator = new SimOperator(world, nodes);
        for (int index = 0; index < nodeCount; index++) {
            int number = index;
            addNode(
                    index,
                    version,
                    running ->
                            RegionSettings.of(
                                    number,
                                    nodeCount,
                                    running == Version.RECORDED ? RegionSettings.LIMITS_NOW : next,
                                    features.apply(number)));
        }
        everySoOften(
                0.05,
                () -> {
                    store.tick();
                    machines.tick();
                    machines.check();
                    leaderWatch.tick();
                });
        everySoOften(1, users::check);
    }

    private void addNode(int index, Version version, Function<Version, Settings> settingsOf) {
        SimNode node = new SimNode(index, world, version, settingsOf, violations);
        nodes.add(node);
        world.listen("10.0.0." + (index + 1) + ":8080", node);
        world.listen("10.0.0." + (index + 1) + ":8081", node.peerSide());
        node.start();
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

    /** Plans a scenario's jobs and faults; to be run until {@link Scenario#endsAt}. */
    public void play(Scenario scenario) {
        for (int i = 0; i < scenario.jobs(); i++) {
            int number = i + 1;
            world.at(
                    Scenario.FIRST_JOB_S + i * scenario.intervalS(),
                    () -> jobMix.submitScenarioJob(number));
        }
        scenario.faults()
                .forEach(
                        planned ->
                                world.at(
                                        planned.at(), () -> faultInjector.inject(planned.fault())));
        users.faultsOverAt = scenario.faultsOverAt();
    }

    // ---- users

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

    // ---- who leads

    /** The name of the node that leads, as the durable key has it, or empty. */
    public String leader() {
        return leaderWatch.leader();
    }

    /** How many machines are in that node's partition while all take part. */
    public long partitionSize(int index) {
        Set<String> all =
                nodes.stream().map(node -> "node-" + node.index).collect(Collectors.toSet());
        return machines.all().stream()
                .filter(worker -> Partitions.owner(worker.name, all).equals("node-" + index))
                .count();
    }

    /** How many controllers there are. */
    int nodeCount() {
        return nodes.size();
    }

    /** Which of the nodes leads. */
    public int leaderIndex() {
        return leaderWatch.leaderIndex();
    }

    /** How often another leadership has begun. */
    public int leaderChanges() {
        return leaderWatch.leaderChanges();
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
        return leaderWatch.lastLeader();
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
        return (int) users.jobs.values().stream().filter(job -> job.accepted).count();
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
