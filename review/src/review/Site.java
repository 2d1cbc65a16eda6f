package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
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
import io.pepperfield.standin.StoreStandIn;
import io.pepperfield.standin.WorkerStandIn;
import java.io.File;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A small deployment on loopback addresses: controllers as processes of their own, started with the
 * command of deploy/service.toml, and stand-ins for the state service, the cloud, the workers and
 * the users. The state of all stand-ins is confined to one thread, {@link #scheduler}.
 */
final class Site implements AutoCloseable {

    static final int CONTROLLERS = 3;
    static final double CANCEL_S = 37;

    /** The two deployments of the users' pages, as the brief describes them. */
    enum Deployment {
        KWELA_ORDERS(
                "joburg-north", "cape-west", 2.5, 12, CANCEL_S, 150, 50, 8, 40, 2, 8, 263, 1200),
        TESTROUTE_SCOT(
                "edinburgh-dc", "inverness-dc", 3, 34, 64, 100, 40, 16, 32, 4, 4, 320, 2000);

        final String zone;
        final String otherZone;
        final double reportS;
        final double leaseS;
        final double cancelS;
        final double stateRps;
        final double writeRps;
        final double valueKb;
        final int txnOps;
        final double cloudRps;
        final double listLagS;
        final double memMb;
        final int sockets;

        Deployment(
                String zone,
                String otherZone,
                double reportS,
                double leaseS,
                double cancelS,
                double stateRps,
                double writeRps,
                double valueKb,
                int txnOps,
                double cloudRps,
                double listLagS,
                double memMb,
                int sockets) {
            this.zone = zone;
            this.otherZone = otherZone;
            this.reportS = reportS;
            this.leaseS = leaseS;
            this.cancelS = cancelS;
            this.stateRps = stateRps;
            this.writeRps = writeRps;
            this.valueKb = valueKb;
            this.txnOps = txnOps;
            this.cloudRps = cloudRps;
            this.listLagS = listLagS;
            this.memMb = memMb;
            this.sockets = sockets;
        }

        private void addTeams(StringBuilder toml) {
            boolean kwela = this == KWELA_ORDERS;
            for (int team = 0; team < (kwela ? 10 : 16); team++) {
                line(toml, "[[deployment.teams]]");
                line(toml, "name = \"%s-%02d\"", kwela ? "desk-team" : "exams-team", team);
                line(toml, "cpus = %.1f", kwela ? 32.0 : 16.0);
                line(toml, "cpus_max = %.1f", kwela ? 88.0 : 48.0);
                line(toml, "gpus = 0.0");
                line(toml, "gpus_max = 0.0");
            }
        }

        private ObjectNode machineTypes() {
            ObjectNode types = Json.object();
            ArrayNode flavours = types.putArray("flavours");
            if (this == KWELA_ORDERS) {
                addType(flavours, "lekker-big", 16, 64, 0.69, 0.2, 25);
            } else {
                addType(flavours, "thistle-small", 4, 16, 0.29, 0.08, 40);
                addType(flavours, "ben-large", 16, 64, 1.19, 0.32, 15);
            }
            return types;
        }

        private void addType(
                ArrayNode flavours,
                String label,
                int cpus,
                int memGb,
                double hourly,
                double spotPrice,
                double bootS) {
            flavours.addObject()
                    .put("label", label)
                    .put("vcpus", cpus)
                    .put("accelerators", 0)
                    .put("memGb", memGb)
                    .put("localGb", 60)
                    .put("fetchGbPerS", 0.3)
                    .put("hourly", hourly)
                    .put("spotPrice", spotPrice)
                    .put("readyS", bootS)
                    .putArray("sites")
                    .add(otherZone)
                    .add(zone);
        }
    }
    private static final long TICK_MS = 20;

    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 30_000;

    /** A script may run for 120 s at most. */
    private static final long LONGEST_RUN_MS = 118_500;

    /** The state service keeps the last 10,000 changes. */
    private static final int CHANGES_KEPT = 10_000;

    /** A rented machine. The worker is null until the machine is up. */
    static final class RentedMachine {
        final String name;
        final String type;
        final String zone;
        final boolean spot;
        final double rentedAt;
        WorkerStandIn worker;
        boolean hung;
        final List<Runnable> heldMessages = new ArrayList<>();

        RentedMachine(String name, String type, String zone, boolean spot, double rentedAt) {
            this.name = name;
            this.type = type;
            this.zone = zone;
            this.spot = spot;
            this.rentedAt = rentedAt;
        }
    }

    private interface Handler {
        void handle(InboundRequest request, Consumer<HttpReply> answer);
    }

    final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    final Map<String, RentedMachine> machines = new LinkedHashMap<>();

    /** Tasks that are on a machine, with the machine's name. */
    final Map<String, String> running = new HashMap<>();

    /** Machines that the cloud has in all; afterwards it answers "no capacity". */
    int machinesToRent = 20;

    /** Tasks that were completed. */
    final Set<String> done = new HashSet<>();

    /** Seconds for which a task of an array runs. */
    double taskDurationS = 600;

    /** The services, whose replicas run until they are stopped. */
    final Set<String> services = new HashSet<>();

    private final EventLoopGroup network =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(network, 1 << 20);
    private final long startNanos = System.nanoTime();
    private final StoreStandIn store = new StoreStandIn(this::now, CHANGES_KEPT);
    private final Map<String, List<String>> rentals = new HashMap<>();
    private final List<Integer> userPorts = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private final Process[] processes = new Process[CONTROLLERS];
    private final boolean[] killedByTest = new boolean[CONTROLLERS];
    private final Deployment deployment;
    private final double bootS;
    private final Path repository;
    private final Path directory;
    private final PrintWriter record;
    private final int statePort;
    private final int cloudPort;
    private int nextMachine = 1;

    /**
     * @param caseFolder the folder in which record.txt is written
     * @param bootS seconds that a machine takes to come up
     */
    Site(Path caseFolder, Deployment deployment, double bootS) throws Exception {
        this.deployment = deployment;
        this.bootS = bootS;
        repository = Path.of("").toAbsolutePath();
        directory = Files.createTempDirectory("pepperfield-review");
        record = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        statePort = listen(store::handle);
        cloudPort = listen(this::cloud);
        for (int i = 0; i < CONTROLLERS; i++) {
            userPorts.add(freePort());
            peerPorts.add(freePort());
        }
        scheduler.scheduleWithFixedDelay(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
        Thread watchdog = new Thread(this::endLateRun);
        watchdog.setDaemon(true);
        watchdog.start();
    }

    private void endLateRun() {
        try {
            Thread.sleep(LONGEST_RUN_MS);
        } catch (InterruptedException e) {
            return;
        }
        log("result: could not run, the time is up");
        endProcesses();
        Runtime.getRuntime().halt(2);
    }

    private void endProcesses() {
        for (int node = 0; node < CONTROLLERS; node++) {
            if (processes[node] != null) {
                killedByTest[node] = true;
                processes[node].destroyForcibly();
            }
        }
    }

    double now() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    void log(String format, Object... arguments) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%8.3f  ", now());
            record.printf(Locale.ROOT, format, arguments);
            record.println();
        }
    }

    <T> T onScheduler(Callable<T> command) throws Exception {
        return scheduler.submit(command).get(30, TimeUnit.SECONDS);
    }

    private void tick() {
        try {
            store.tick();
            for (RentedMachine machine : List.copyOf(machines.values())) {
                if (machine.worker != null && !machine.hung) {
                    machine.worker.tick();
                }
            }
        } catch (RuntimeException e) {
            log("stand-in failed: %s", e);
        }
    }

    private int listen(Handler handler) throws InterruptedException {
        return new HttpServer(
                        network,
                        500,
                        (request, answer) ->
                                scheduler.execute(() -> handler.handle(request, answer)))
                .start("127.0.0.1", 0);
    }

    /** A free port below those that the operating system gives to outgoing connections. */
    private static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress("127.0.0.1", port));
                return port;
            } catch (BindException e) {
                // In use by another process.
            }
        }
    }

    // ---- controllers

    private String settings(int node) {
        StringBuilder toml = new StringBuilder();
        line(toml, "node = \"worker-%d\"", node);
        line(toml, "zone = \"%s\"", zone(node));
        line(toml, "bind = \"127.0.0.1:%d\"", userPorts.get(node));
        line(toml, "peer_listen = \"127.0.0.1:%d\"", peerPorts.get(node));
        for (int other = 0; other < CONTROLLERS; other++) {
            if (other != node) {
                line(toml, "[[members]]");
                line(toml, "node = \"worker-%d\"", other);
                line(toml, "zone = \"%s\"", zone(other));
                line(toml, "addr = \"127.0.0.1:%d\"", peerPorts.get(other));
            }
        }
        line(toml, "[endpoints]");
        line(toml, "cloud = \"127.0.0.1:%d\"", cloudPort);
        line(toml, "state = \"127.0.0.1:%d\"", statePort);
        line(toml, "[deployment]");
        line(toml, "size = %d", CONTROLLERS);
        line(toml, "zones = [\"%s\", \"%s\"]", deployment.otherZone, deployment.zone);
        line(toml, "clock_error_ms = 5.0");
        deployment.addTeams(toml);
        line(toml, "[deployment.workers]");
        line(toml, "report_s = %.1f", deployment.reportS);
        line(toml, "lease_s = %.1f", deployment.leaseS);
        line(toml, "gang_wait_s = 45.0");
        line(toml, "gang_peer_s = 8.0");
        line(toml, "cancel_s = %.1f", deployment.cancelS);
        line(toml, "[deployment.state]");
        line(toml, "rps = %.1f", deployment.stateRps);
        line(toml, "write_rps = %.1f", deployment.writeRps);
        line(toml, "value_kb = %.1f", deployment.valueKb);
        line(toml, "txn_ops = %d", deployment.txnOps);
        line(toml, "[deployment.cloud]");
        line(toml, "rps = %.1f", deployment.cloudRps);
        line(toml, "list_lag_s = %.1f", deployment.listLagS);
        line(toml, "[deployment.quota]");
        line(toml, "core_share = 0.34");
        line(toml, "mem_mb = %.1f", deployment.memMb);
        line(toml, "sockets = %d", deployment.sockets);
        return toml.toString();
    }

    private static void line(StringBuilder toml, String format, Object... arguments) {
        toml.append(String.format(Locale.ROOT, format, arguments)).append('\n');
    }

    private String zone(int node) {
        return node == 1 ? deployment.otherZone : deployment.zone;
    }

    private List<String> runCommand() throws IOException {
        for (String text : Files.readAllLines(repository.resolve("deploy/service.toml"))) {
            if (text.startsWith("run = \"")) {
                String command = text.substring("run = \"".length(), text.lastIndexOf('"'));
                return new ArrayList<>(List.of(command.split(" ")));
            }
        }
        throw new IOException("deploy/service.toml has no command");
    }

    void startController(int node) throws IOException {
        Path file = directory.resolve("worker-" + node + ".toml");
        Files.writeString(file, settings(node));
        List<String> command = runCommand();
        command.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.directory(repository.toFile());
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        File log = directory.resolve("worker-" + node + ".log").toFile();
        builder.redirectError(ProcessBuilder.Redirect.appendTo(log));
        Process process = builder.start();
        processes[node] = process;
        killedByTest[node] = false;
        log("controller worker-%d started, pid %d", node, process.pid());
        process.onExit()
                .thenAccept(
                        ended -> {
                            if (processes[node] == ended && !killedByTest[node]) {
                                log(
                                        "controller worker-%d ended by itself, exit code %d",
                                        node, ended.exitValue());
                            }
                        });
    }

    void startControllers() throws IOException {
        for (int node = 0; node < CONTROLLERS; node++) {
            startController(node);
        }
    }

    /** Kills a controller without a signal that it could handle. */
    void killController(int node) throws InterruptedException {
        killedByTest[node] = true;
        log("controller worker-%d killed", node);
        processes[node].destroyForcibly();
        processes[node].waitFor(10, TimeUnit.SECONDS);
    }

    /** Whether the controller's process has ended although the test did not end it. */
    boolean endedByItself(int node) {
        return !processes[node].isAlive() && !killedByTest[node];
    }

    String lastLogLine(int node) throws IOException {
        List<String> lines = Files.readAllLines(directory.resolve("worker-" + node + ".log"));
        return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    /** The lines of a controller's log that contain a text. */
    List<String> logLines(int node, String text) throws IOException {
        Path log = directory.resolve("worker-" + node + ".log");
        return Files.readAllLines(log).stream().filter(line -> line.contains(text)).toList();
    }

    /** Waits until every controller answers GET /up with 200; returns whether all did. */
    boolean awaitHealthy(double timeoutS) throws Exception {
        double until = now() + timeoutS;
        for (int node = 0; node < CONTROLLERS; node++) {
            while (request(node, "GET", "/up", null, 1000).status != 200) {
                if (now() > until) {
                    return false;
                }
                Thread.sleep(100);
            }
        }
        return true;
    }

    // ---- users

    /** A response; status 0 stands for none. */
    record Response(int status, JsonNode body) {}

    Response request(int node, String method, String path, JsonNode body, long timeoutMs) {
        byte[] bytes = body == null ? null : Json.write(body);
        if (bytes == null && method.equals("POST")) {
            bytes = new byte[0];
        }
        CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
        client.send(
                new OutboundRequest(
                        "127.0.0.1", userPorts.get(node), 20, method, path, bytes, timeoutMs),
                outcome::complete);
        return outcome.join() instanceof HttpOutcome.Answered answered
                ? new Response(answered.status(), answered.json())
                : new Response(0, Json.object());
    }

    /** Sends a request as users do: again after a second, to the next controller, for 60 s. */
    Response requestWithRetries(
            int firstNode, String method, String path, JsonNode body, long timeoutMs)
            throws InterruptedException {
        double until = now() + 60;
        Response response = null;
        for (int attempt = 0; now() < until; attempt++) {
            int node = (firstNode + attempt) % CONTROLLERS;
            response = request(node, method, path, body, timeoutMs);
            log(
                    "user: %s %s at worker-%d -> %d %s",
                    method, path, node, response.status, response.body);
            if (response.status / 100 == 2 || response.status == 400 || response.status == 422) {
                return response;
            }
            Thread.sleep(1000);
        }
        return response;
    }

    static ObjectNode arrayJob(String id, int tasks, double cpus) {
        return Json.object()
                .put("nameId", id)
                .put("workload", "recon-arrays")
                .put("owner", "desk-team-00")
                .put("shape", "sweep")
                .put("rank", "standard")
                .put("shards", tasks)
                .put("vcpus", cpus)
                .put("accelerators", 0.0)
                .put("memGb", 10.0)
                .put("bundle", "img-01")
                .put("pullGb", 0.7)
                .put("together", false)
                .put("spread", false)
                .put("reclaimable", true)
                .put("expectedS", 18.0)
                .put("snapshotEveryS", 0.0)
                .put("snapshotS", 0.0);
    }

    // ---- state service

    /** The value of a key, or null. */
    JsonNode stored(String key) throws Exception {
        return onScheduler(() -> store.get(key));
    }

    /** All keys with a prefix. */
    List<String> storedKeys(String prefix) throws Exception {
        return onScheduler(
                () -> {
                    List<String> keys = new ArrayList<>();
                    for (String key : store.keys()) {
                        if (key.startsWith(prefix)) {
                            keys.add(key);
                        }
                    }
                    return keys;
                });
    }

    /** Writes keys in one transaction of the state service. */
    void store(Map<String, JsonNode> values) throws Exception {
        ObjectNode transaction = Json.object();
        transaction.putArray("guards");
        ArrayNode operations = transaction.putArray("apply");
        values.forEach(
                (key, value) -> operations.addObject().put("set", key).set("data", value));
        byte[] body = Json.write(transaction);
        onScheduler(
                () -> {
                    store.handle(
                            new InboundRequest("POST", "/txn", Map.of(), body), answer -> {});
                    return null;
                });
    }

    // ---- cloud

    private void cloud(InboundRequest request, Consumer<HttpReply> answer) {
        JsonNode body = Json.read(request.body());
        switch (request.method() + " " + request.path()) {
            case "GET /machine_types" -> answer.accept(HttpReply.json(200, deployment.machineTypes()));
            case "POST /rentals" -> answer.accept(rent(body));
            case "POST /rentals/release" -> {
                body.path("hosts").forEach(host -> release(host.asText()));
                answer.accept(HttpReply.json(200, Json.object()));
            }
            case "GET /rentals" -> answer.accept(HttpReply.json(200, list(request)));
            default -> answer.accept(HttpReply.error(400, "malformed"));
        }
    }

    private HttpReply rent(JsonNode body) {
        String hire = body.path("hire").asText();
        List<String> names = rentals.computeIfAbsent(hire, key -> new ArrayList<>());
        if (names.isEmpty()) {
            String zone = body.path("site").asText();
            boolean spot = body.path("reclaimable").asBoolean();
            int count = Math.min(body.path("howMany").asInt(), machinesToRent - nextMachine + 1);
            for (int i = 0; i < count; i++) {
                String name = String.format(Locale.ROOT, "host-%06d", nextMachine++);
                RentedMachine machine =
                        new RentedMachine(
                                name, body.path("flavour").asText(), zone, spot, now());
                machines.put(name, machine);
                names.add(name);
                long delayMs = Math.round(bootS * 1000);
                scheduler.schedule(() -> boot(machine), delayMs, TimeUnit.MILLISECONDS);
            }
            log("cloud: rental %s -> %s", hire, names);
        }
        if (names.isEmpty()) {
            return HttpReply.error(503, "no capacity");
        }
        ObjectNode reply = Json.object();
        ArrayNode hosts = reply.putArray("hosts");
        names.forEach(hosts::add);
        return HttpReply.json(200, reply);
    }

    /** Takes a spot machine back without a notice: it is gone, and no longer listed. */
    void take(RentedMachine machine) {
        log("cloud: %s is taken back", machine.name);
        machines.remove(machine.name);
        if (machine.worker != null) {
            machine.worker.losePower();
        }
        running.values().removeIf(machine.name::equals);
    }

    private void release(String name) {
        RentedMachine machine = machines.remove(name);
        if (machine != null) {
            log("cloud: release %s", name);
            machine.heldMessages.clear();
            if (machine.worker != null) {
                machine.worker.losePower();
            }
            running.values().removeIf(name::equals);
        }
    }

    private ObjectNode list(InboundRequest request) {
        ObjectNode reply = Json.object().put("truncated", false);
        ArrayNode hosts = reply.putArray("hosts");
        String since = request.queryParameter("since", "");
        for (RentedMachine machine : machines.values()) {
            double age = now() - machine.rentedAt;
            if (age > deployment.listLagS && machine.name.compareTo(since) > 0) {
                hosts.addObject()
                        .put("nameId", machine.name)
                        .put("addr", machine.worker == null ? "" : machine.worker.address)
                        .put("flavour", machine.type)
                        .put("site", machine.zone)
                        .put("reclaimable", machine.spot)
                        .put("status", machine.worker == null ? "starting" : "running")
                        .put("ageS", age - deployment.listLagS);
            }
        }
        return reply;
    }

    // ---- machines

    private void boot(RentedMachine machine) {
        Handler handler =
                (request, answer) -> {
                    Runnable message =
                            () -> machine.worker.handle(request.path(), request.body(), answer);
                    if (machine.hung) {
                        machine.heldMessages.add(message);
                    } else {
                        message.run();
                    }
                };
        // Binds on another thread, since this one must not wait for the network.
        CompletableFuture.supplyAsync(() -> bind(handler))
                .thenAccept(port -> scheduler.execute(() -> startWorker(machine, port)));
    }

    private int bind(Handler handler) {
        try {
            return listen(handler);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void startWorker(RentedMachine machine, int port) {
        if (machines.get(machine.name) != machine) {
            return;
        }
        List<String> names = new ArrayList<>();
        List<String> addresses = new ArrayList<>();
        for (int node = 0; node < CONTROLLERS; node++) {
            names.add("worker-" + node);
            addresses.add("127.0.0.1:" + userPorts.get(node));
        }
        HttpSender sender =
                (request, onOutcome) ->
                        client.send(
                                request,
                                outcome -> scheduler.execute(() -> onOutcome.accept(outcome)));
        machine.worker =
                new WorkerStandIn(
                        new WorkerStandIn.MachineIdentity(
                                machine.name,
                                machine.type,
                                machine.zone,
                                machine.spot,
                                "127.0.0.1:" + port),
                        new WorkerStandIn.WorkerConfig(
                                names, addresses, deployment.reportS, deployment.leaseS),
                        this::now,
                        sender,
                        new Tasks());
        log("machine %s (%s%s) is up in %s",
                machine.name, machine.type, machine.spot ? ", spot" : "", machine.zone);
    }

    /** Makes a machine hang: it runs nothing, reports nothing and answers nothing. */
    void hang(RentedMachine machine, double seconds) {
        double until = now() + seconds;
        log("machine %s hangs for %.1f s", machine.name, seconds);
        machine.hung = true;
        machine.worker.hang(until);
        scheduler.schedule(
                () -> {
                    if (machines.get(machine.name) == machine) {
                        log("machine %s goes on", machine.name);
                        machine.hung = false;
                        machine.worker.tick();
                        machine.heldMessages.forEach(Runnable::run);
                    }
                    machine.heldMessages.clear();
                },
                Math.round(seconds * 1000) + 5,
                TimeUnit.MILLISECONDS);
    }

    private final class Tasks implements WorkerStandIn.TaskOracle {
        @Override
        public double runDurationS(String task) {
            String job = task.substring(0, task.indexOf('/'));
            return services.contains(job) ? -1 : taskDurationS;
        }

        @Override
        public void taskStarted(WorkerStandIn worker, String task) {
            log("task %s is on %s", task, worker.name);
            running.put(task, worker.name);
        }

        @Override
        public void taskEnded(WorkerStandIn worker, String task, boolean completed) {
            log("task %s has left %s%s", task, worker.name, completed ? ", done" : "");
            running.remove(task, worker.name);
            if (completed) {
                done.add(task);
            }
        }

        @Override
        public boolean isDone(String task) {
            return done.contains(task);
        }

        @Override
        public boolean failsAtEnd(String task) {
            return false;
        }
    }

    @Override
    public void close() throws Exception {
        endProcesses();
        for (Process process : processes) {
            if (process != null) {
                process.waitFor(10, TimeUnit.SECONDS);
            }
        }
        scheduler.shutdownNow();
        network.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        try (var files = Files.list(directory)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(directory);
        record.close();
    }
}
