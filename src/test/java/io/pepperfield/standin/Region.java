package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;
import io.pepperfield.http.Call;
import io.pepperfield.http.Json;
import io.pepperfield.http.Reply;
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
 * #broken}.
 */
public final class Region {

    public static final double REPORT_S = 1;
    public static final double LEASE_S = 6;
    public static final double CANCEL_S = 20;
    private static final int FEW_NODES = 3;

    private static final int FEW_MACHINES = 14;

    /** As many as a rollout is tried with. */
    private static final int MANY_NODES = 5;

    /** Answers a simulated node's requests. */
    private interface Handler {
        void handle(String from, Call call, Consumer<Reply> answer);
    }

    public final SimWorld world;
    public final List<String> broken = new ArrayList<>();
    public final Pipelines pipelines;
    public final JobMix jobs;
    public final AdmissionLoad load;
    public final NetworkCuts cuts;
    public final DecisionLog decisions;
    final StateStandIn state;
    final StateLink stateLink;
    final ReportCopies copies;
    public final SimOperator operator;
    private final CloudStandIn cloud;
    private final List<SimNode> nodes = new ArrayList<>();
    private final SimMachines machines;
    private final SimUsers users;
    private final TroublePlayer troubles;
    private double stateOutUntil;
    private double cloudOutUntil;
    private long lastGrant;
    private int lastLeader;
    private int madeUp;
    private int leaderChanges;

    public Region(long seed) {
        this(seed, Version.CURRENT, RegionSettings.LIMITS_NOW, FEW_NODES, FEW_MACHINES);
    }

    /** A region of so many controllers that divide admission, without the last few. */
    public static Region admitting(long seed, int nodes, int without) {
        return new Region(
                seed,
                Version.CURRENT,
                RegionSettings.LIMITS_NOW,
                nodes,
                FEW_MACHINES,
                index -> index < nodes - without ? Set.of(Feature.ADMISSION) : Set.of());
    }

    /** A region that has so many machines to rent. */
    public static Region large(long seed, int machinesToRent) {
        return new Region(
                seed, Version.CURRENT, RegionSettings.LIMITS_LARGE, FEW_NODES, machinesToRent);
    }

    /** A region of five controllers that know stored-state versions, or are going to. */
    public static Region beforeRollout(long seed, Version version) {
        Region region =
                new Region(seed, version, RegionSettings.LIMITS_NEXT, MANY_NODES, FEW_MACHINES);
        region.state.rolloutRules = new RolloutRules(region.world::now, region.broken);
        return region;
    }

    /** A region before its upgrade: the recorded version runs, and the limits are going to fall. */
    public static Region beforeUpgrade(long seed) {
        return new Region(
                seed, Version.RECORDED, RegionSettings.LIMITS_NEXT, FEW_NODES, FEW_MACHINES);
    }

    /**
     * @param next the limits that this version knows of
     */
    private Region(long seed, Version version, Settings.State next, int nodeCount, int capacity) {
        this(seed, version, next, nodeCount, capacity, index -> Set.of());
    }

    private Region(
            long seed,
            Version version,
            Settings.State next,
            int nodeCount,
            int capacity,
            IntFunction<Set<Feature>> features) {
        world = new SimWorld(seed);
        decisions = new DecisionLog(world::now);
        state = new StateStandIn(world::now, 10_000);
        state.broken = broken;
        state.decided = decisions::add;
        state.limits =
                new StateLimits(
                        next == RegionSettings.LIMITS_LARGE ? next : RegionSettings.LIMITS_NOW,
                        world.now());
        stateLink = new StateLink(world, state);
        Map<String, SimJob> submitted = new LinkedHashMap<>();
        PipelineRules rules = new PipelineRules(world, broken, submitted, this::durablyDone);
        machines = new SimMachines(world, broken, submitted, rules);
        users = new SimUsers(world, broken, machines, submitted, rules, nodeCount);
        jobs = new JobMix(world, users);
        load = new AdmissionLoad(world, users, nodes);
        cuts = new NetworkCuts(world, machines, nodeCount);
        pipelines = new Pipelines(world, users, jobs::team);
        troubles = new TroublePlayer(this, machines, users);
        copies = new ReportCopies(world, nodes);
        machines.reported = copies::reported;
        machines.decided = decisions::add;
        cloud = new CloudStandIn(world::now, capacity, machines);
        cloud.decided = decisions::add;
        world.listen("10.2.0.1:2379", host(stateLink::handle));
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
                            broken);
            nodes.add(node);
            world.listen("10.0.0." + (i + 1) + ":8080", node);
            world.listen("10.0.0." + (i + 1) + ":8081", node.peerSide());
            node.start();
        }
        everySoOften(
                0.05,
                () -> {
                    state.tick();
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
                    String from, String method, String path, byte[] body, Consumer<Reply> answer) {
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
                    () -> jobs.submitOneOfAll(number));
        }
        scenario.troubles()
                .forEach(
                        planned -> world.at(planned.at(), () -> troubles.begin(planned.trouble())));
        users.calmAt = scenario.calmAt();
    }

    // ---- users

    /** Writes a key as a controller of another release would. */
    public void write(String key, JsonNode data) {
        ObjectNode body = Json.object();
        body.putArray("guards");
        body.putArray("apply").addObject().put("set", key).set("data", data);
        state.handle(SimWorld.call("POST", "/txn", Json.write(body)), reply -> {});
    }

    /** Submits a small job once, at that node and without the network between. */
    public void submitAt(int node, int number, Consumer<Reply> answer) {
        JobPlan plan = JobPlan.array(number, "batch", "red", "standard", 1, 1, List.of(1.0), true);
        nodes.get(node).request("users", "POST", "/api/jobs", Json.write(plan.body()), answer);
    }

    /** Asks about a job that nobody submitted. */
    public void askForNothing() {
        users.askForNothing();
    }

    /** Users ask eight times as often until then. */
    public void askMore(double until) {
        users.askMore(until);
    }

    /** Every user whose job is not over cancels it now. */
    public void cancelAll() {
        users.cancelAll();
    }

    // ---- troubles

    /** One trouble drawn from the seed. */
    public void trouble() {
        new DrawnTrouble(this, machines).begin();
    }

    /**
     * Machines that are rented until then take so many times as long to boot, and that part of them
     * never comes up.
     */
    public void boots(double factor, double never, double until) {
        machines.boots(factor, never, until);
    }

    public void crash(int index, double forS) {
        nodes.get(index).crash(forS);
    }

    /** The process stands still while its clocks run on; what comes for it waits. */
    public void freeze(int index, double until) {
        nodes.get(index).freeze(until);
    }

    /** A third of the machines hang, as when a rack stands still. */
    public void hangSome(double until) {
        machines.all().stream()
                .filter(w -> world.random.nextInt(3) == 0)
                .forEach(w -> w.hang(until));
    }

    /**
     * The leader ends for good, and until then nobody else can be elected, although the state
     * service answers.
     */
    public void nobodyLeads(double until) {
        int leader = leaderIndex();
        state.noGrants = true;
        crash(leader, until - world.now());
        world.at(until, () -> state.noGrants = false);
    }

    public void stateOutage(double until) {
        state.outage(true);
        stateOutUntil = Math.max(stateOutUntil, until);
        world.at(
                until,
                () -> {
                    if (world.now() >= stateOutUntil) {
                        state.outage(false);
                    }
                });
    }

    /** From now on the state service has its lower limits. */
    public void limitsFall() {
        state.limits = new StateLimits(RegionSettings.LIMITS_NEXT, world.now());
    }

    /** Until then every request about grants is refused as beyond the rate. */
    public void refuseGrants(double until) {
        state.grantsRefusedUntil = Math.max(state.grantsRefusedUntil, until);
    }

    /** Ends a controller's process, which comes back as that version. */
    public void replace(int index, Version by, double downS) {
        nodes.get(index).replace(by, downS);
    }

    void cloudOutage(double until) {
        cloud.outage(true);
        cloudOutUntil = Math.max(cloudOutUntil, until);
        world.at(
                until,
                () -> {
                    if (world.now() >= cloudOutUntil) {
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
        JsonNode first = state.get("pepperfield/leader");
        return RolloutRules.isFence(first) ? state.get("pepperfield/v2/leader") : first;
    }

    /** How many machines are in that node's partition while all take part. */
    public long partition(int index) {
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
            copies.newLeader();
        }
    }

    // ---- what can be seen of it

    /** Machines rented so far, whether they are still there or not. */
    public int rentals() {
        return cloud.rentals();
    }

    /** How often a task has begun on a machine so far. */
    public int starts() {
        return machines.starts;
    }

    /**
     * How often a task has begun after its user was told that its job is cancelled: commands under
     * way may do that for a while.
     */
    public int startsAfterCancel() {
        return machines.startsAfterCancel;
    }

    /** Changes that the state service has taken so far. */
    public int changes() {
        return state.changes;
    }

    /** Bytes of all values that the state service has taken so far. */
    public long bytesWritten() {
        return state.bytesWritten;
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
        return state.get(key);
    }

    private boolean durablyDone(String id) {
        JsonNode end = state.get("pepperfield/end/" + id);
        return end != null && end.path("s").asText().equals("done");
    }

    public List<String> reusedRentalNames() {
        return cloud.reused;
    }

    /**
     * What a node answers, without the network between; null where it has said nothing within two
     * seconds.
     */
    public Reply answer(int node, String method, String path) {
        return answer(node, method, path, null);
    }

    /**
     * So many questions at once about jobs that nobody submitted: how many got 404, and how many
     * were told to come back.
     */
    public List<Integer> floodOfUnknown(int node, int questions) {
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
    public Reply report(int node, String zone) {
        return answer(node, "POST", "/agent/beat", SimMachines.madeUpReport(zone, ++madeUp));
    }

    private Reply answer(int node, String method, String path, byte[] body) {
        Reply[] got = new Reply[1];
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
                .filter(job -> !job.plan.awaits().equals(state.awaits(job.plan.id())))
                .forEach(job -> altered.add(job.plan.id()));
        return altered;
    }

    /** How many transactions were refused for their size since the limits last changed. */
    public int refusedForSize() {
        return state.limits.malformed;
    }

    // ---- what is left at the end

    /**
     * Asks every node about every accepted job; what was not answered with 200 within the time that
     * users wait.
     */
    public List<String> unanswered() {
        world.lost = 0;
        world.late = 0;
        return users.unanswered();
    }

    /** Jobs that should be over by now and are not, as their users see it. */
    public List<String> unfinished() {
        return users.unfinished();
    }

    /**
     * Accepted jobs that are neither over nor running, and those that waited for 90 s of calm
     * though there was room for them.
     */
    public List<String> leftOver() {
        return users.leftOver();
    }
}
