package io.pepperfield.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.pepperfield.cli.Main;
import io.pepperfield.config.Operators;
import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsReader;
import io.pepperfield.http.Call;
import io.pepperfield.http.HttpClient;
import io.pepperfield.http.HttpServer;
import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Reply;
import io.pepperfield.standin.CloudStandIn;
import io.pepperfield.standin.StateStandIn;
import io.pepperfield.standin.WorkerStandIn;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** Three controllers over loopback, with stand-ins of everything else behind real sockets. */
class LoopbackTest implements WorkerStandIn.Truth {

    private final EventLoopGroup network =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(network, 1 << 20);
    private final ScheduledExecutorService region = Executors.newSingleThreadScheduledExecutor();
    private final long zero = System.nanoTime();
    private final Map<String, WorkerStandIn> workers = new LinkedHashMap<>();
    private final Set<String> done = new HashSet<>();
    private final List<Service> services = new ArrayList<>();
    private final List<Thread> owners = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();

    private double now() {
        return (System.nanoTime() - zero) / 1e9;
    }

    /** Answers a request that arrived over a socket. */
    private interface Handler {
        void handle(Call call, Consumer<Reply> answer);
    }

    private int listen(Handler handler) throws InterruptedException {
        return new HttpServer(
                        network,
                        200,
                        (call, answer) -> region.execute(() -> handler.handle(call, answer)))
                .start("127.0.0.1", 0);
    }

    @BeforeEach
    void start() throws Exception {
        StateStandIn state = new StateStandIn(this::now, 10_000);
        CloudStandIn cloud =
                new CloudStandIn(
                        this::now,
                        6,
                        new CloudStandIn.Machines() {
                            @Override
                            public void boot(String name, String type, String zone, boolean spot) {
                                LoopbackTest.this.boot(name, type, zone, spot);
                            }

                            @Override
                            public void delete(String name) {
                                WorkerStandIn gone = workers.remove(name);
                                if (gone != null) {
                                    gone.die();
                                }
                            }
                        });
        int statePort = listen(state::handle);
        int cloudPort = listen((call, answer) -> answer.accept(cloud.handle(call)));
        region.scheduleWithFixedDelay(
                () -> {
                    state.tick();
                    List.copyOf(workers.values()).forEach(WorkerStandIn::tick);
                },
                20,
                20,
                TimeUnit.MILLISECONDS);
        int[] free = new int[6];
        List<ServerSocket> held = new ArrayList<>();
        for (int i = 0; i < free.length; i++) {
            held.add(new ServerSocket(0));
            free[i] = held.get(i).getLocalPort();
        }
        for (ServerSocket socket : held) {
            socket.close();
        }
        for (int i = 0; i < 3; i++) {
            ports.add(free[i]);
        }
        for (int i = 0; i < 3; i++) {
            StringBuilder toml =
                    new StringBuilder(
                            "node = \"node-"
                                    + i
                                    + "\"\nzone = \"east\"\nbind = \"127.0.0.1:"
                                    + free[i]
                                    + "\"\npeer_listen = \"127.0.0.1:"
                                    + free[3 + i]
                                    + "\"\n");
            for (int j = 0; j < 3; j++) {
                if (j != i) {
                    toml.append("[[members]]\nnode = \"node-")
                            .append(j)
                            .append("\"\nzone = \"east\"\naddr = \"127.0.0.1:")
                            .append(free[3 + j])
                            .append("\"\n");
                }
            }
            toml.append("[endpoints]\ncloud = \"127.0.0.1:")
                    .append(cloudPort)
                    .append("\"\nstate = \"127.0.0.1:")
                    .append(statePort)
                    .append("\"\n")
                    .append(
                            """
                            [deployment]
                            size = 3
                            [[deployment.teams]]
                            name = "red"
                            cpus = 16
                            cpus_max = 32
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
                            """);
            Settings settings =
                    SettingsReader.parse("node-" + i, toml.toString(), Operators.DEFAULTS);
            Service service = new Service(settings);
            service.start();
            services.add(service);
            Thread owner = new Thread(service::run);
            owners.add(owner);
            owner.start();
        }
    }

    private void boot(String name, String type, String zone, boolean spot) {
        List<String> names = List.of("node-0", "node-1", "node-2");
        List<String> addresses = ports.stream().map(p -> "127.0.0.1:" + p).toList();
        WorkerStandIn[] made = new WorkerStandIn[1];
        // Bound off the region's own thread, which must not wait for the network's.
        CompletableFuture.supplyAsync(
                        () -> {
                            try {
                                return listen(
                                        (call, answer) ->
                                                made[0].handle(call.path(), call.body(), answer));
                            } catch (InterruptedException e) {
                                throw new IllegalStateException(e);
                            }
                        })
                .thenAccept(
                        port ->
                                region.execute(
                                        () -> {
                                            made[0] =
                                                    new WorkerStandIn(
                                                            name,
                                                            type,
                                                            zone,
                                                            spot,
                                                            "127.0.0.1:" + port,
                                                            this::now,
                                                            (h,
                                                                    p,
                                                                    c,
                                                                    method,
                                                                    path,
                                                                    body,
                                                                    deadline,
                                                                    finish) ->
                                                                    client.send(
                                                                            h,
                                                                            p,
                                                                            c,
                                                                            method,
                                                                            path,
                                                                            body,
                                                                            deadline,
                                                                            o ->
                                                                                    region.execute(
                                                                                            () ->
                                                                                                    finish
                                                                                                            .accept(
                                                                                                                    o))),
                                                            names,
                                                            addresses,
                                                            0.5,
                                                            4,
                                                            this);
                                            workers.put(name, made[0]);
                                        }));
    }

    @AfterEach
    void stop() throws InterruptedException {
        services.forEach(Service::stop);
        for (Thread owner : owners) {
            owner.join();
        }
        region.shutdownNow();
        network.shutdownGracefully();
    }

    private Outcome.Answered ask(int node, String method, String path, byte[] body) {
        CompletableFuture<Outcome> future = new CompletableFuture<>();
        client.send("127.0.0.1", ports.get(node), 4, method, path, body, 5000, future::complete);
        return (Outcome.Answered) future.join();
    }

    /** Asks again and again, as users do, until the answer is as wanted. */
    private JsonNode until(
            int node, String method, String path, byte[] body, Predicate<Outcome.Answered> wanted)
            throws Exception {
        CompletableFuture<JsonNode> found = new CompletableFuture<>();
        again(node, method, path, body, wanted, found);
        return found.get(60, TimeUnit.SECONDS);
    }

    private void again(
            int node,
            String method,
            String path,
            byte[] body,
            Predicate<Outcome.Answered> wanted,
            CompletableFuture<JsonNode> found) {
        client.send(
                "127.0.0.1",
                ports.get(node),
                4,
                method,
                path,
                body,
                5000,
                outcome -> {
                    if (outcome instanceof Outcome.Answered answer && wanted.test(answer)) {
                        found.complete(answer.json());
                    } else if (!found.isDone()) {
                        region.schedule(
                                () -> again(node, method, path, body, wanted, found),
                                100,
                                TimeUnit.MILLISECONDS);
                    }
                });
    }

    private static ObjectNode job(int number) {
        return Json.object()
                .put("nameId", String.format("run-%06d", number))
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

    private int status(int node, ObjectNode job) {
        return ask(node, "POST", "/api/jobs", Json.write(job)).status();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private int submitByCommandLine(ObjectNode job, ByteArrayOutputStream said) throws IOException {
        Path file = Files.createTempFile("job", ".json");
        PrintStream before = System.err;
        System.setErr(new PrintStream(said, true, StandardCharsets.UTF_8));
        try {
            Files.write(file, Json.write(job));
            return new CommandLine(new Main())
                    .execute("submit", file.toString(), "--server", "127.0.0.1:" + ports.get(1));
        } finally {
            System.setErr(before);
            Files.delete(file);
        }
    }

    @Test
    void theCommandLineNamesTheOffendingFieldOnOneLine() throws Exception {
        until(1, "POST", "/api/jobs", Json.write(job(1)), a -> a.status() == 201);
        ObjectNode bad = job(2);
        bad.putArray("awaits").add("run-000001").add(7);
        ObjectNode stranger = job(2);
        stranger.putArray("awaits").add("run-000001").add("run-000009");
        ByteArrayOutputStream said = new ByteArrayOutputStream();
        assertEquals(1, submitByCommandLine(bad, said));
        assertEquals(1, submitByCommandLine(stranger, said));
        List<String> lines =
                said.toString(StandardCharsets.UTF_8)
                        .lines()
                        .filter(line -> line.startsWith("pepperfield: "))
                        .toList();
        assertEquals(
                List.of(
                        "pepperfield: 400: awaits: want an array of job ids",
                        "pepperfield: 422: awaits: run-000009 was never accepted"),
                lines);
    }

    @Test
    void answersJobsAndSurvivesTheLeader() throws Exception {
        until(0, "POST", "/api/jobs", Json.write(job(1)), a -> a.status() == 201);
        for (String bad :
                List.of(
                        "",
                        "{",
                        "[]",
                        "7",
                        "{\"nameId\":\"run-000002\"}",
                        "{} {}",
                        "{\"nameId\":1}")) {
            assertEquals(400, ask(0, "POST", "/api/jobs", bytes(bad)).status(), bad);
        }
        assertEquals(400, status(0, job(2).put("nameId", "../etc")));
        assertEquals(400, status(0, job(2).put("shards", 0)));
        assertEquals(400, status(0, job(2).put("shards", 100_001)));
        assertEquals(400, status(0, job(2).put("shards", 2.5)));
        assertEquals(400, status(0, job(2).put("vcpus", "2")));
        assertEquals(400, status(0, job(2).put("memGb", -1)));
        assertEquals(400, status(0, job(2).put("shape", "round")));
        assertEquals(400, status(0, job(2).put("rank", "first")));
        assertEquals(400, status(0, job(2).putNull("spread")));
        assertEquals(400, status(0, job(2).put("workload", "x".repeat(70_000))));
        assertEquals(422, status(0, job(2).put("owner", "nobody")));
        assertEquals(422, status(0, job(2).put("vcpus", 30.0)));
        assertEquals(422, status(0, job(2).put("shape", "standing").put("shards", 20)));
        assertEquals(404, ask(1, "GET", "/api/jobs/run-000002", null).status());
        assertEquals(404, ask(1, "POST", "/api/jobs/run-000002/cancel", new byte[0]).status());
        assertEquals(404, ask(1, "GET", "/nowhere", null).status());
        assertEquals(405, ask(1, "DELETE", "/api/jobs/run-000001", null).status());
        // A known id gets 200 whatever its body says, from any node.
        assertEquals(200, status(2, job(1).put("shards", -5)));
        until(
                1,
                "GET",
                "/api/jobs/run-000001",
                null,
                a -> a.json().path("status").asText().equals("done"));
        assertEquals(
                "done",
                ask(2, "POST", "/api/jobs/run-000001/cancel", new byte[0])
                        .json()
                        .path("status")
                        .asText());

        int leader =
                Integer.parseInt(
                        ask(0, "GET", "/api/nodes", null)
                                .json()
                                .path("leader")
                                .asText()
                                .substring(5));
        services.get(leader).stop();
        int other = (leader + 1) % 3;
        until(other, "POST", "/api/jobs", Json.write(job(3)), a -> a.status() == 201);
        until(
                (leader + 2) % 3,
                "GET",
                "/api/jobs/run-000003",
                null,
                a -> a.json().path("status").asText().equals("done"));
        assertEquals(201, status(other, job(4).put("shape", "standing")));
        assertEquals(
                "cancelled",
                ask(other, "POST", "/api/jobs/run-000004/cancel", new byte[0])
                        .json()
                        .path("status")
                        .asText());
        assertEquals(
                "cancelled",
                ask((leader + 2) % 3, "GET", "/api/jobs/run-000004", null)
                        .json()
                        .path("status")
                        .asText());
    }

    @Override
    public double runS(String task) {
        return 0.5;
    }

    @Override
    public void begins(WorkerStandIn worker, String task) {}

    @Override
    public void ends(WorkerStandIn worker, String task, boolean completed) {
        if (completed) {
            done.add(task);
        }
    }

    @Override
    public boolean fails(String task) {
        return false;
    }

    @Override
    public boolean isDone(String task) {
        return done.contains(task);
    }
}
