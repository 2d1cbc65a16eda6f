import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 5. The only machine is faulty: the tasks of the only job fail on it. The leader crashes and
 * comes back after 5 s, and the faulty machine stops. From then on nothing is wrong any more.
 *
 * <p>Arguments: the file of the record, 1 for the disruption or 0 for none, the seconds of waiting.
 */
public final class FaultyMachine {
    private static final String JOB = "run-000412";
    private static final int TASKS = 4;
    private static final double RESTART_S = 5;
    private static final String LEADER = "pepperfield/leader";

    private static final long START = System.nanoTime();
    private static final Map<String, Worker.Job> JOBS = new ConcurrentHashMap<>();
    private static final AtomicInteger STARTS = new AtomicInteger();
    private static final AtomicInteger ERRORS = new AtomicInteger();
    private static PrintWriter record;

    /** How long the accepted job may be left waiting once nothing is wrong any more. */
    private static double waitingS;

    private static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    private static synchronized void log(String text) {
        record.printf("%7.2f %s%n", now(), text);
        record.flush();
        if (text.endsWith(" running")) {
            STARTS.incrementAndGet();
        } else if (text.endsWith(" ended error")) {
            ERRORS.incrementAndGet();
        }
    }

    public static void main(String[] arguments) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])));
        boolean trouble = arguments[1].equals("1");
        waitingS = Double.parseDouble(arguments[2]);
        Site.Plan plan = new Site.Plan();
        Map<String, Integer> controllers = new LinkedHashMap<>();
        int result = 2;
        try (StateService state =
                new StateService(plan.rps, plan.writeRps, plan.valueKb, plan.txnOps)) {
            Map<String, Worker> workers = new ConcurrentHashMap<>();
            Cloud cloud =
                    new Cloud(
                            plan.cloudRps,
                            plan.listLagS,
                            2,
                            6,
                            host -> {
                                Worker worker =
                                        new Worker(
                                                host.name(),
                                                host.zone(),
                                                host.spot(),
                                                plan,
                                                0.3,
                                                controllers,
                                                JOBS::get,
                                                FaultyMachine::log);
                                worker.faulty = trouble && workers.isEmpty();
                                workers.put(host.name(), worker);
                                log(
                                        "machine is up: " + host.name() + " " + host.zone() + " spot="
                                                + host.spot() + (worker.faulty ? ", faulty" : ""));
                                return worker;
                            },
                            (controller, hosts) -> log("cloud: " + controller + " returns " + hosts));
            int[] ports = {cloud.open("worker-0"), cloud.open("worker-1"), cloud.open("worker-2")};
            try (Site site = new Site(plan, 3, state.port(), index -> ports[index])) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> endAll(site)));
                site.controllers.forEach(
                        controller -> controllers.put(controller.name, controller.bind));
                result = play(site, state, cloud, trouble);
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

    private static int play(Site site, StateService state, Cloud cloud, boolean trouble)
            throws Exception {
        for (Site.Controller controller : site.controllers) {
            controller.start();
        }
        if (!await(
                20,
                () ->
                        site.controllers.stream().allMatch(c -> c.up(500))
                                && leader(site, state) != null)) {
            log("the controllers did not start");
            return 2;
        }
        if (!submit(site)) {
            log("the job was not accepted");
            return 2;
        }
        if (!trouble) {
            boolean done =
                    await(waitingS, () -> status(site).path("status").asText().equals("done"));
            log("starts: " + STARTS + " status: " + status(site));
            return done ? 0 : 1;
        }
        if (!await(20, () -> ERRORS.get() >= TASKS)) {
            log("the tasks did not fail");
            return 2;
        }
        sleep(7);
        log("status: " + status(site));
        Site.Controller leader = leader(site, state);
        if (leader == null) {
            return 2;
        }
        leader.kill();
        log(leader.name + ", the leader, crashes");
        sleep(RESTART_S);
        leader.start();
        log(leader.name + " is started again");
        String machine = cloud.hosts().get(0).name();
        cloud.stop(machine);
        log(machine + ", the faulty machine, stops");
        int startsBefore = STARTS.get();
        await(10, () -> site.controllers.stream().allMatch(c -> c.up(500)));
        double over = now();
        log("no trouble any more; leader: " + state.get(LEADER));
        double nextAt = now();
        while (now() < over + waitingS && STARTS.get() == startsBefore) {
            if (now() >= nextAt) {
                nextAt += 10;
                log("status: " + status(site) + "; machines: " + cloud.hosts().size());
            }
            sleep(0.1);
        }
        log(
                "starts of the accepted job in the " + (int) waitingS + " s after the last trouble: "
                        + (STARTS.get() - startsBefore));
        return STARTS.get() == startsBefore ? 1 : 0;
    }

    private static boolean submit(Site site) throws IOException {
        ObjectNode body =
                Jobs.submission(JOB, "recon-arrays", TASKS, 4.0, 10.0).put("expectedS", 10.0);
        JOBS.put(JOB, new Worker.Job(false, 4.0, 10.0, 10));
        MiniHttp.Response response =
                MiniHttp.call(
                        site.controllers.get(0).bind,
                        "POST",
                        "/api/jobs",
                        Site.JSON.writeValueAsBytes(body),
                        5000);
        log("user submits " + body + " -> " + response.status());
        return response.status() == 201;
    }

    /** Asks the controllers in turn until one answers. */
    private static JsonNode status(Site site) {
        for (Site.Controller controller : site.controllers) {
            MiniHttp.Response response =
                    MiniHttp.call(controller.bind, "GET", "/api/jobs/" + JOB, null, 2000);
            if (response.status() == 200) {
                return Site.json(response);
            }
        }
        return Site.JSON.createObjectNode();
    }

    private static Site.Controller leader(Site site, StateService state) {
        JsonNode value = state.get(LEADER);
        return value == null
                ? null
                : site.controllers.stream()
                        .filter(controller -> controller.name.equals(value.path("node").asText()))
                        .findFirst()
                        .orElse(null);
    }

    private interface Condition {
        boolean holds() throws IOException;
    }

    private static boolean await(double seconds, Condition condition) throws Exception {
        double until = now() + seconds;
        while (now() < until) {
            if (condition.holds()) {
                return true;
            }
            sleep(0.05);
        }
        return condition.holds();
    }

    private static void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1000));
    }
}
