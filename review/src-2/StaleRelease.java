import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 6. An idle spot machine is about to be returned by the leader while the cloud's interface is
 * down and services wait for ordinary machines. The leader stands still; another controller is
 * elected and starts tasks on that machine. Then the first one goes on.
 *
 * <p>Arguments: the file of the record, 1 for the disruption or 0 for none.
 */
public final class StaleRelease {
    private static final double OUTAGE_FROM_S = 42;

    /** A minute is the least that is charged for a machine, so an idle one is returned about then. */
    private static final double STOP_AFTER_RENTAL_S = 60;

    private static final double STANDS_STILL_S = 10;
    private static final String LEADER = "pepperfield/leader";

    private static final long START = System.nanoTime();
    private static final Map<String, Worker.Job> JOBS = new ConcurrentHashMap<>();
    private static PrintWriter record;

    /** The controller that stood still, and since when it goes on; guarded by the class. */
    private static Site.Controller stoodStill;

    private static double goesOnSince = Double.POSITIVE_INFINITY;
    private static boolean broken;

    private static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    private static synchronized void log(String text) {
        record.printf("%7.2f %s%n", now(), text);
        record.flush();
    }

    public static void main(String[] arguments) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[0])));
        boolean trouble = arguments[1].equals("1");
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
                                log("machine is up: " + host.name() + " " + host.zone() + " spot=" + host.spot());
                                Worker worker =
                                        new Worker(
                                                host.name(),
                                                host.zone(),
                                                host.spot(),
                                                plan,
                                                0.3,
                                                controllers,
                                                JOBS::get,
                                                StaleRelease::log);
                                workers.put(host.name(), worker);
                                return worker;
                            },
                            (controller, hosts) -> released(state, workers, controller, hosts));
            int[] ports = {cloud.open("worker-0"), cloud.open("worker-1"), cloud.open("worker-2")};
            try (Site site = new Site(plan, 3, state.port(), index -> ports[index])) {
                Runtime.getRuntime().addShutdownHook(new Thread(() -> endAll(site)));
                site.controllers.forEach(controller -> controllers.put(controller.name, controller.bind));
                result = play(site, state, cloud, workers, trouble);
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

    /** Judges a release at the moment of its arrival at the cloud. */
    private static synchronized void released(
            StateService state, Map<String, Worker> workers, String controller, List<String> hosts) {
        JsonNode leader = state.get(LEADER);
        log("cloud: " + controller + " returns " + hosts + "; the key leader names " + leader);
        for (String host : hosts) {
            if (workers.containsKey(host)) {
                log("  tasks on " + host + ": " + workers.get(host).onMachine());
            }
        }
        if (stoodStill != null
                && controller.equals(stoodStill.name)
                && now() > goesOnSince
                && leader != null
                && !leader.path("node").asText().equals(controller)) {
            broken = true;
            log("  BROKEN: " + controller + " stood still, was replaced, and returns a machine");
        }
    }

    private static int play(
            Site site, StateService state, Cloud cloud, Map<String, Worker> workers, boolean trouble)
            throws Exception {
        for (Site.Controller controller : site.controllers) {
            controller.start();
        }
        if (!await(20, () -> site.controllers.stream().allMatch(c -> c.up(500)) && leader(site, state) != null)) {
            log("the controllers did not start");
            return 2;
        }
        Site.Controller first = leader(site, state);
        log("leader: " + first.name);
        submit(site, "run-000001", "recon-arrays", 16, 1.0, 4, true);
        if (!await(20, () -> workers.size() == 1)) {
            log("no machine was rented");
            return 2;
        }
        String machine = workers.keySet().iterator().next();
        sleepUntil(OUTAGE_FROM_S);
        if (trouble) {
            log("the cloud's interface is down");
            cloud.setDown(true);
        }
        // Services that wait for ordinary machines while the idle spot machine's minute ends.
        int number = 100;
        double nextAt = now();
        double until = rentedAt(cloud, machine) + STOP_AFTER_RENTAL_S;
        while (now() < until) {
            if (now() >= nextAt && number < 112) {
                nextAt += 1.3;
                submit(site, "run-000" + number++, "order-gateway", 2, 9.0, 0, false);
            }
            Thread.sleep(20);
        }
        if (leader(site, state) != first) {
            log("the leader has changed before any disruption");
            return 2;
        }
        if (!trouble) {
            log("without the disruption");
            sleepUntil(until + STANDS_STILL_S + 15);
            return broken ? 1 : 0;
        }
        first.signal("STOP");
        double stoppedAt = now();
        log(first.name + " stands still");
        Thread.sleep(1500);
        log("the cloud's interface is back");
        cloud.setDown(false);
        if (!await(8, () -> leader(site, state) != null && leader(site, state) != first)) {
            log("no other leader");
            first.signal("CONT");
            return 2;
        }
        Site.Controller second = leader(site, state);
        log("leader: " + second.name);
        submit(site, second, "run-000002", "recon-arrays", 16, 1.0, 40, true);
        await(STANDS_STILL_S - (now() - stoppedAt), () -> !workers.get(machine).onMachine().isEmpty());
        sleepUntil(stoppedAt + STANDS_STILL_S);
        log("tasks on " + machine + ": " + workers.get(machine).onMachine());
        synchronized (StaleRelease.class) {
            stoodStill = first;
            goesOnSince = now();
        }
        first.signal("CONT");
        log(first.name + " goes on");
        await(15, () -> broken);
        log("leader at the end: " + state.get(LEADER));
        return broken ? 1 : 0;
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
            Thread.sleep(50);
        }
        return condition.holds();
    }

    private static void sleepUntil(double time) throws InterruptedException {
        while (now() < time) {
            Thread.sleep(20);
        }
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

    private static double rentedAt(Cloud cloud, String machine) {
        return cloud.hosts().stream()
                .filter(host -> host.name().equals(machine))
                .mapToDouble(host -> (host.rentedAt() - START) / 1e9)
                .findFirst()
                .orElseThrow();
    }

    private static void submit(
            Site site, String id, String workload, int tasks, double cpus, double runS, boolean spot)
            throws IOException {
        Site.Controller any = site.controllers.get(JOBS.size() % site.controllers.size());
        submit(site, any, id, workload, tasks, cpus, runS, spot);
    }

    private static void submit(
            Site site,
            Site.Controller controller,
            String id,
            String workload,
            int tasks,
            double cpus,
            double runS,
            boolean spot)
            throws IOException {
        ObjectNode body =
                Jobs.submission(id, workload, tasks, cpus, 2.0)
                        .put("reclaimable", spot)
                        .put("expectedS", runS);
        boolean service = body.path("shape").asText().equals("standing");
        JOBS.put(id, new Worker.Job(service, cpus, 2.0, runS));
        MiniHttp.Response response =
                MiniHttp.call(
                        controller.bind, "POST", "/api/jobs", Site.JSON.writeValueAsBytes(body), 5000);
        log("user submits " + id + " to " + controller.name + " -> " + response.status());
    }
}
