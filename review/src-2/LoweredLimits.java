import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Case 4. The settings announce that the state service will allow 30 changes a second instead of
 * 50. It does so from some moment on. Then users submit the jobs of the start of a day.
 *
 * <p>Arguments: the file of the record, 1 for the lowered limit or 0 for the present one.
 */
public final class LoweredLimits {
    /** At the start of a day by the users' page: services, and arrays of margin checks. */
    private static final int SERVICES = 85;

    private static final int ARRAYS = 40;
    private static final int TASKS_OF_ARRAY = 7;
    private static final int JOBS = SERVICES + ARRAYS;
    private static final double SERVICE_CPUS = 2;
    private static final double SERVICE_MEM_GB = 7.4;
    private static final double ARRAY_CPUS = 1;
    private static final double ARRAY_MEM_GB = 3.1;
    private static final double ARRAY_RUN_S = 15;
    private static final double NEXT_WRITE_RPS = 30;

    /** At times machines are up within a second or two. */
    private static final double BOOT_S = 2;

    private static final double WAITING_S = 90;
    private static final double LATEST_S = 113;

    private static final long START = System.nanoTime();
    private static final Map<String, Worker.Job> NEEDS = new ConcurrentHashMap<>();
    private static final Map<String, Double> ACCEPTED = new ConcurrentHashMap<>();
    private static final Map<String, Double> STARTED = new ConcurrentHashMap<>();
    private static final Map<Integer, Integer> REFUSED = new TreeMap<>();
    private static final Map<String, Worker> WORKERS = new ConcurrentHashMap<>();
    private static PrintWriter record;

    private static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    private static synchronized void log(String text) {
        record.printf("%7.2f %s%n", now(), text);
        record.flush();
        if (text.endsWith(" running")) {
            String shard = text.split(" ")[1];
            STARTED.putIfAbsent(shard.substring(0, shard.indexOf('/')), now());
        }
    }

    public static void main(String[] arguments) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])));
        boolean trouble = arguments[1].equals("1");
        Site.Plan plan = new Site.Plan();
        plan.next =
                "rps = " + plan.rps + "\nwrite_rps = " + NEXT_WRITE_RPS + "\nvalue_kb = "
                        + plan.valueKb + "\ntxn_ops = " + plan.txnOps + "\n";
        Map<String, Integer> controllers = new LinkedHashMap<>();
        int result = 2;
        try (StateService state =
                new StateService(plan.rps, plan.writeRps, plan.valueKb, plan.txnOps)) {
            state.onRefused =
                    changes -> {
                        synchronized (REFUSED) {
                            REFUSED.merge(changes, 1, Integer::sum);
                        }
                    };
            Cloud cloud =
                    new Cloud(
                            plan.cloudRps,
                            plan.listLagS,
                            BOOT_S,
                            20,
                            host -> {
                                log("machine is up: " + host.name() + " " + host.zone());
                                Worker worker =
                                        new Worker(
                                                host.name(),
                                                host.zone(),
                                                host.spot(),
                                                plan,
                                                0.3,
                                                controllers,
                                                NEEDS::get,
                                                LoweredLimits::log);
                                WORKERS.put(host.name(), worker);
                                return worker;
                            },
                            (controller, hosts) -> {
                                log("cloud: " + controller + " returns " + hosts);
                                hosts.forEach(WORKERS::remove);
                            });
            int[] ports = {cloud.open("worker-0"), cloud.open("worker-1"), cloud.open("worker-2")};
            try (Site site = new Site(plan, 3, state.port(), index -> ports[index])) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> endAll(site)));
                site.controllers.forEach(
                        controller -> controllers.put(controller.name, controller.bind));
                result = play(site, state, plan, trouble);
            }
        } catch (Exception e) {
            log("the case could not run: " + e);
        }
        log("result " + result);
        // Codes of their own, which an exception of the virtual machine never gives.
        System.exit(10 + result);
    }

    private static void endAll(Site site) {
        site.controllers.forEach(
                controller -> {
                    if (controller.process != null) {
                        controller.process.destroyForcibly();
                    }
                });
    }

    private static int play(Site site, StateService state, Site.Plan plan, boolean trouble)
            throws Exception {
        for (Site.Controller controller : site.controllers) {
            controller.start();
        }
        double until = now() + 20;
        while (!site.controllers.stream().allMatch(controller -> controller.up(500))) {
            if (now() > until) {
                log("the controllers did not start");
                return 2;
            }
            Thread.sleep(100);
        }
        log("all controllers answer GET /up with 200");
        if (trouble) {
            state.setLimits(plan.rps, NEXT_WRITE_RPS, plan.valueKb, plan.txnOps);
            log("state service: " + NEXT_WRITE_RPS + " changes a second instead of " + plan.writeRps);
        }
        ExecutorService users = Executors.newFixedThreadPool(20);
        for (int i = 0; i < JOBS; i++) {
            int number = i;
            users.submit(() -> submit(site, number));
        }
        users.shutdown();
        if (!users.awaitTermination(40, TimeUnit.SECONDS)) {
            users.shutdownNow();
            log("only " + ACCEPTED.size() + " jobs were accepted");
            return 2;
        }
        log("accepted jobs: " + ACCEPTED.size());
        return watch(site);
    }

    /**
     * Returns 1 once an accepted job has waited for 90 s while a machine that fits had room all the
     * time. No team comes near its limit: 9 services of 2 CPUs and 4 arrays of 7 CPUs against 88
     * CPUs.
     */
    private static int watch(Site site) throws InterruptedException {
        double roomSince = Double.POSITIVE_INFINITY;
        double nextLineAt = 0;
        while (now() < LATEST_S) {
            long room = WORKERS.values().stream().filter(w -> w.hasRoom(SERVICE_CPUS, SERVICE_MEM_GB)).count();
            roomSince = room == 0 ? Double.POSITIVE_INFINITY : Math.min(roomSince, now());
            double since = roomSince;
            long left =
                    ACCEPTED.entrySet().stream()
                            .filter(job -> !STARTED.containsKey(job.getKey()))
                            .filter(job -> now() - Math.max(job.getValue(), since) > WAITING_S)
                            .count();
            if (now() >= nextLineAt || left > 0) {
                nextLineAt = now() + 5;
                log(
                        "accepted " + ACCEPTED.size() + ", started " + STARTED.size()
                                + ", machines up " + WORKERS.size() + ", with room for a task "
                                + room + "; transactions with 429 by their number of changes: "
                                + refused());
            }
            if (left > 0) {
                log(
                        "jobs left waiting for more than " + (int) WAITING_S
                                + " s while a machine that fits has room: " + left);
                log("run-000085: " + status(site, "run-000085"));
                return 1;
            }
            if (STARTED.size() == JOBS) {
                log("all jobs have started");
                return 0;
            }
            Thread.sleep(200);
        }
        return 0;
    }

    private static String refused() {
        synchronized (REFUSED) {
            return REFUSED.toString();
        }
    }

    private static JsonNode status(Site site, String id) {
        return Site.json(
                MiniHttp.call(
                        site.controllers.get(0).bind, "GET", "/api/jobs/" + id, null, 2000));
    }

    /** Submits one service, and again after a second while it is not accepted. */
    private static Void submit(Site site, int number) throws IOException, InterruptedException {
        String id = String.format("run-%06d", number + 1);
        boolean service = number < SERVICES;
        ObjectNode body =
                service
                        ? Jobs.submission(id, "order-gateway", 1, SERVICE_CPUS, SERVICE_MEM_GB)
                        : Jobs.submission(
                                        id, "margin-checks", TASKS_OF_ARRAY, ARRAY_CPUS, ARRAY_MEM_GB)
                                .put("rank", "urgent")
                                .put("expectedS", ARRAY_RUN_S);
        body.put("owner", "desk-team-0" + number % 10);
        NEEDS.put(
                id,
                service
                        ? new Worker.Job(true, SERVICE_CPUS, SERVICE_MEM_GB, 0)
                        : new Worker.Job(false, ARRAY_CPUS, ARRAY_MEM_GB, ARRAY_RUN_S));
        for (int attempt = 0; attempt < 30; attempt++) {
            Site.Controller to = site.controllers.get((number + attempt) % site.controllers.size());
            MiniHttp.Response response =
                    MiniHttp.call(
                            to.bind, "POST", "/api/jobs", Site.JSON.writeValueAsBytes(body), 5000);
            log("user submits " + id + " to " + to.name + " -> " + response.status());
            if (response.status() == 200 || response.status() == 201) {
                ACCEPTED.put(id, now());
                return null;
            }
            Thread.sleep(3000);
        }
        return null;
    }
}
