package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.pepperfield.http.HttpClient;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.HttpServer;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.http.OutboundRequest;
import java.io.IOException;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Stand-ins of everything that controllers talk to, behind real sockets on this machine. What
 * breaks a rule is kept in {@link #violations}.
 */
public final class LoopbackRegion implements WorkerStandIn.TaskOracle, AutoCloseable {

    private static final double REPORT_S = 0.5;
    private static final double LEASE_S = 4;
    private static final double TASK_S = 0.5;
    private static final long TICK_MS = 20;
    private static final long AGAIN_MS = 100;

    /** Longer than anything takes on a busy machine. */
    private static final long PATIENCE_S = 60;

    /** Answers a request that arrived over a socket. */
    private interface Handler {
        void handle(InboundRequest request, Consumer<HttpReply> answer);
    }

    public final List<String> violations = new CopyOnWriteArrayList<>();

    private final EventLoopGroup network =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(network, 1 << 20);
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final long startNanos = System.nanoTime();
    private final Map<String, WorkerStandIn> workers = new LinkedHashMap<>();
    private final Map<String, WorkerStandIn> runningTasks = new HashMap<>();
    private final Set<String> completedTasks = new HashSet<>();
    private final StoreStandIn state = new StoreStandIn(this::now, 10_000);
    private final List<Integer> ports = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private final int statePort;
    private final int cloudPort;

    public LoopbackRegion(int controllers) throws Exception {
        CloudStandIn cloud = new CloudStandIn(this::now, 2 * controllers, new Machines());
        statePort = listen(state::handle);
        cloudPort = listen((request, answer) -> answer.accept(cloud.handle(request)));
        scheduler.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        List<Integer> free = freePorts(2 * controllers);
        ports.addAll(free.subList(0, controllers));
        peerPorts.addAll(free.subList(controllers, 2 * controllers));
    }

    /** Checks that stored-state versions change as they must. */
    public void enableRolloutChecks() {
        scheduler.execute(() -> state.rolloutRules = new RolloutRules(this::now, violations));
    }

    private double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private void tick() {
        state.tick();
        List.copyOf(workers.values()).forEach(WorkerStandIn::tick);
    }

    private int listen(Handler handler) throws InterruptedException {
        return new HttpServer(
                        network,
                        200,
                        (request, answer) ->
                                scheduler.execute(() -> handler.handle(request, answer)))
                .start("127.0.0.1", 0);
    }

    private static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> held = new ArrayList<>();
        List<Integer> free = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            held.add(new ServerSocket(0));
            free.add(held.get(i).getLocalPort());
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        return free;
    }

    // ---- controllers

    /** Where users and workers reach a controller. */
    public int port(int node) {
        return ports.get(node);
    }

    /** The platform's settings of a controller. */
    public String settingsToml(int node) {
        StringBuilder toml =
                new StringBuilder(
                        String.format(
                                Locale.ROOT,
                                "node = \"node-%d\"\nzone = \"east\"\nbind = \"127.0.0.1:%d\"\n",
                                node,
                                ports.get(node)));
        toml.append(
                String.format(
                        Locale.ROOT, "peer_listen = \"127.0.0.1:%d\"\n", peerPorts.get(node)));
        for (int other = 0; other < ports.size(); other++) {
            if (other != node) {
                toml.append(
                        String.format(
                                Locale.ROOT,
                                "[[members]]\nnode = \"node-%d\"\nzone = \"east\"\naddr = \"127.0.0.1:%d\"\n",
                                other,
                                peerPorts.get(other)));
            }
        }
        toml.append(
                String.format(
                        Locale.ROOT,
                        "[endpoints]\ncloud = \"127.0.0.1:%d\"\nstate = \"127.0.0.1:%d\"\n",
                        cloudPort,
                        statePort));
        return toml.append(String.format(Locale.ROOT, "[deployment]\nsize = %d\n", ports.size()))
                .append(
                        """
                        [[deployment.teams]]
                        name = "red"
                        cpus = 16
                        cpus_max = 32
                        [[deployment.teams]]
                        name = "guests"
                        cpus = 0
                        cpus_max = 0
                        [deployment.workers]
                        report_s = 0.5
                        lease_s = 4
                        cancel_s = 12
                        [deployment.state]
                        rps = 400
                        write_rps = 200
                        value_kb = 8
                        txn_ops = 32
                        [deployment.cloud]
                        rps = 20
                        list_lag_s = 1
                        [deployment.quota]
                        core_share = 1
                        mem_mb = 256
                        sockets = 400
                        """)
                .toString();
    }

    // ---- machines

    /** Machines whose workers listen on a socket of their own. */
    private final class Machines implements CloudStandIn.Machines {

        @Override
        public void boot(String name, String type, String zone, boolean spot) {
            WorkerStandIn[] made = new WorkerStandIn[1];
            Handler handler =
                    (request, answer) -> made[0].handle(request.path(), request.body(), answer);
            // Bound off the region's own thread, which must not wait for the network's.
            CompletableFuture.supplyAsync(() -> bind(handler))
                    .thenAccept(
                            port ->
                                    scheduler.execute(
                                            () -> {
                                                made[0] = worker(name, type, zone, spot, port);
                                                workers.put(name, made[0]);
                                            }));
        }

        @Override
        public void delete(String name) {
            WorkerStandIn gone = workers.remove(name);
            if (gone != null) {
                gone.losePower();
                runningTasks.values().removeIf(worker -> worker == gone);
            }
        }
    }

    private int bind(Handler handler) {
        try {
            return listen(handler);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private WorkerStandIn worker(String name, String type, String zone, boolean spot, int port) {
        List<String> names =
                IntStream.range(0, ports.size()).mapToObj(node -> "node-" + node).toList();
        List<String> addresses =
                ports.stream().map(controllerPort -> "127.0.0.1:" + controllerPort).toList();
        HttpSender sender =
                (request, onOutcome) ->
                        client.send(
                                request,
                                outcome -> scheduler.execute(() -> onOutcome.accept(outcome)));
        return new WorkerStandIn(
                new WorkerStandIn.MachineIdentity(name, type, zone, spot, "127.0.0.1:" + port),
                new WorkerStandIn.WorkerConfig(names, addresses, REPORT_S, LEASE_S),
                this::now,
                sender,
                this);
    }

    @Override
    public double runDurationS(String task) {
        return TASK_S;
    }

    @Override
    public void taskStarted(WorkerStandIn worker, String task) {
        WorkerStandIn other = runningTasks.put(task, worker);
        if (other != null && other != worker) {
            violations.add(now() + " ran_twice: " + task);
        }
    }

    @Override
    public void taskEnded(WorkerStandIn worker, String task, boolean completed) {
        runningTasks.remove(task, worker);
        if (completed) {
            completedTasks.add(task);
        }
    }

    @Override
    public boolean failsAtEnd(String task) {
        return false;
    }

    @Override
    public boolean isDone(String task) {
        return completedTasks.contains(task);
    }

    /** The value under a key, or null. */
    public JsonNode storedValue(String key) throws Exception {
        return scheduler.submit(() -> state.get(key)).get(PATIENCE_S, TimeUnit.SECONDS);
    }

    // ---- users

    /** A small array. */
    public static ObjectNode smallJob(int number) {
        return Json.object()
                .put("nameId", String.format(Locale.ROOT, "run-%06d", number))
                .put("workload", "batch")
                .put("owner", "red")
                .put("shape", "sweep")
                .put("rank", "standard")
                .put("shards", 3)
                .put("vcpus", 2.0)
                .put("accelerators", 0.0)
                .put("memGb", 2.0)
                .put("bundle", "img")
                .put("pullGb", 0.1)
                .put("together", false)
                .put("spread", false)
                .put("reclaimable", true)
                .put("expectedS", 1.0)
                .put("snapshotEveryS", 0.0)
                .put("snapshotS", 0.0);
    }

    public HttpOutcome.Answered send(int node, String method, String path, byte[] body) {
        CompletableFuture<HttpOutcome> future = new CompletableFuture<>();
        client.send(
                new OutboundRequest("127.0.0.1", ports.get(node), 4, method, path, body, 5000),
                future::complete);
        return (HttpOutcome.Answered) future.join();
    }

    /** The status of a controller's answer, or 0 where none comes. */
    public int status(int node, String method, String path, byte[] body) {
        CompletableFuture<HttpOutcome> future = new CompletableFuture<>();
        client.send(
                new OutboundRequest("127.0.0.1", ports.get(node), 4, method, path, body, 2000),
                future::complete);
        return future.join() instanceof HttpOutcome.Answered answer ? answer.status() : 0;
    }

    /** Asks again and again, as users do, until the answer is as wanted. */
    public JsonNode retryUntil(
            int node,
            String method,
            String path,
            byte[] body,
            Predicate<HttpOutcome.Answered> wanted)
            throws Exception {
        CompletableFuture<JsonNode> found = new CompletableFuture<>();
        again(List.of(node), 0, method, path, body, wanted, found);
        return found.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    /** The same of all controllers in turn. */
    public JsonNode retryAnyUntil(
            String method, String path, byte[] body, Predicate<HttpOutcome.Answered> wanted)
            throws Exception {
        CompletableFuture<JsonNode> found = new CompletableFuture<>();
        List<Integer> all = IntStream.range(0, ports.size()).boxed().toList();
        again(all, 0, method, path, body, wanted, found);
        return found.get(PATIENCE_S, TimeUnit.SECONDS);
    }

    private void again(
            List<Integer> nodes,
            int turn,
            String method,
            String path,
            byte[] body,
            Predicate<HttpOutcome.Answered> wanted,
            CompletableFuture<JsonNode> found) {
        client.send(
                new OutboundRequest(
                        "127.0.0.1",
                        ports.get(nodes.get(turn % nodes.size())),
                        4,
                        method,
                        path,
                        body,
                        5000),
                outcome -> {
                    if (outcome instanceof HttpOutcome.Answered answer && wanted.test(answer)) {
                        found.complete(answer.json());
                    } else if (!found.isDone()) {
                        scheduler.schedule(
                                () -> again(nodes, turn + 1, method, path, body, wanted, found),
                                AGAIN_MS,
                                TimeUnit.MILLISECONDS);
                    }
                });
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        network.shutdownGracefully();
    }
}
