package review;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;

/**
 * A spot machine is taken back without a notice, and the controllers crash and come back. Once that
 * is over, no job may be left waiting for 90 s while a machine that fits has room and its team is
 * under its limit.
 */
public final class TakenMachineAndCrash {

    /** At times machines are up within a second or two. */
    private static final double BOOT_S = 2;

    private static final double RESTART_S = 5;
    private static final double LONGEST_WAIT_S = 90;
    private static final double MACHINE_CPUS = 4;
    private static final double MACHINE_MEM_GB = 16;
    private static final double TASK_CPUS = 3;
    private static final double TASK_MEM_GB = 12;
    private static final double REPLICA_CPUS = 1;
    private static final double REPLICA_MEM_GB = 1.8;
    private static final double TEAM_CPUS = 48;
    private static final String TYPE = "thistle-small";
    private static final String SERVICE = "run-000411";
    private static final String JOB = "run-000412";

    private TakenMachineAndCrash() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Site site = new Site(Path.of(arguments[0]), Site.Deployment.TESTROUTE_SCOT, BOOT_S)) {
            site.services.add(SERVICE);
            site.taskDurationS = 30;
            result = run(site, trouble);
            site.log("result: %s", result == 0 ? "held" : result == 1 ? "broken" : "could not run");
            for (int node = 0; node < Site.CONTROLLERS; node++) {
                for (String line : site.logLines(node, "eleas")) {
                    site.log("log of worker-%d: %s", node, line);
                }
            }
        }
        System.exit(result);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        site.startControllers();
        if (!site.awaitHealthy(15)) {
            return 2;
        }
        JsonNode job =
                Site.arrayJob(JOB, 1, TASK_CPUS)
                        .put("workload", "result-arrays")
                        .put("owner", "exams-team-00")
                        .put("memGb", TASK_MEM_GB)
                        .put("expectedS", 30.0)
                        .set("flavours", Json.array().add(TYPE));
        JsonNode service =
                Site.arrayJob(SERVICE, 1, REPLICA_CPUS)
                        .put("workload", "booking-portal")
                        .put("owner", "exams-team-01")
                        .put("shape", "standing")
                        .put("rank", "production")
                        .put("memGb", REPLICA_MEM_GB)
                        .put("spread", true)
                        .put("reclaimable", false)
                        .put("expectedS", 0.0)
                        .set("flavours", Json.array().add(TYPE));
        // The service may not use the spot machine of the job: it gets one of its own, with room.
        if (!submit(site, job)
                || !awaitTasks(site, JOB, 1)
                || !submit(site, service)
                || !awaitTasks(site, SERVICE, 1)) {
            return 2;
        }
        Thread.sleep(1000);
        if (trouble) {
            takeMachine(site);
            restartAll(site);
        }
        return watch(site, site.now());
    }

    private static boolean submit(Site site, JsonNode job) throws Exception {
        return site.requestWithRetries(0, "POST", "/api/jobs", job, 5000).status() == 201;
    }

    private static boolean awaitTasks(Site site, String job, int tasks) throws Exception {
        double until = site.now() + 20;
        while (tasksOf(site, job) < tasks) {
            if (site.now() > until) {
                return false;
            }
            Thread.sleep(50);
        }
        return true;
    }

    private static int tasksOf(Site site, String job) throws Exception {
        return site.onScheduler(
                () ->
                        (int)
                                site.running.keySet().stream()
                                        .filter(task -> task.startsWith(job + "/"))
                                        .count());
    }

    private static void takeMachine(Site site) throws Exception {
        site.onScheduler(
                () -> {
                    site.take(site.machines.get(site.running.get(JOB + "/0")));
                    return null;
                });
    }

    private static void restartAll(Site site) throws Exception {
        CompletableFuture<?>[] kills = new CompletableFuture<?>[Site.CONTROLLERS];
        for (int node = 0; node < Site.CONTROLLERS; node++) {
            int killed = node;
            kills[node] = CompletableFuture.runAsync(() -> kill(site, killed));
        }
        CompletableFuture.allOf(kills).join();
        Thread.sleep(Math.round(RESTART_S * 1000));
        site.startControllers();
    }

    private static void kill(Site site, int node) {
        try {
            site.killController(node);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // ---- the check

    /**
     * Returns 1 if the job waits for the whole time allowed, although a machine that fits has room
     * and its team is under its limit.
     */
    private static int watch(Site site, double troublesOverAt) throws Exception {
        site.log("the troubles are over");
        double nextPollAt = troublesOverAt;
        while (site.now() - troublesOverAt <= LONGEST_WAIT_S) {
            if (!site.onScheduler(() -> waitsWithRoom(site))) {
                site.log(
                        "the job does not wait beside a machine with room, %.1f s after the"
                                + " troubles; on machines: %s, done: %s",
                        site.now() - troublesOverAt,
                        site.onScheduler(site.running::toString),
                        site.onScheduler(site.done::toString));
                return 0;
            }
            if (site.now() >= nextPollAt) {
                nextPollAt = site.now() + 10;
                String path = "/api/jobs/" + JOB;
                Site.Response response = site.request(0, "GET", path, null, 2000);
                site.log("user: GET %s -> %d %s", path, response.status(), response.body());
            }
            Thread.sleep(100);
        }
        site.log(
                "rule broken: in the %.1f s after the troubles the task of %s was on no machine,"
                        + " although one had room all the time; tasks on machines: %s, machines: %s",
                site.now() - troublesOverAt,
                JOB,
                site.onScheduler(site.running::toString),
                site.onScheduler(() -> site.machines.keySet().toString()));
        return 1;
    }

    private static boolean waitsWithRoom(Site site) {
        String task = JOB + "/0";
        boolean waits = !site.done.contains(task) && !site.running.containsKey(task);
        return waits && TASK_CPUS <= TEAM_CPUS && hasRoom(site);
    }

    private static boolean hasRoom(Site site) {
        for (Site.RentedMachine machine : site.machines.values()) {
            if (machine.worker == null || !machine.type.equals(TYPE)) {
                continue;
            }
            double cpus = MACHINE_CPUS;
            double memGb = MACHINE_MEM_GB;
            for (String task : machine.worker.tasks()) {
                boolean replica = task.startsWith(SERVICE);
                cpus -= replica ? REPLICA_CPUS : TASK_CPUS;
                memGb -= replica ? REPLICA_MEM_GB : TASK_MEM_GB;
            }
            if (cpus >= TASK_CPUS && memGb >= TASK_MEM_GB) {
                return true;
            }
        }
        return false;
    }
}
