package review;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;

/**
 * All machines of a site hang, and users cancel the jobs on them. The machines have to be given back
 * within cancel_s, since their tasks cannot be stopped. Nothing else goes wrong.
 */
public final class CancelledOnHungSite {

    /** At times machines are up within a second or two. */
    private static final double BOOT_S = 2;

    /** Age of the machines when they hang: they have been up for more than a minute. */
    private static final double AGE_S = 72;

    /** No longer than the longest hang in the site files. */
    private static final double HANG_S = 42;

    private static final int MACHINES = 8;
    private static final int TASKS_A_JOB = 16;
    private static final List<String> JOBS = List.of("run-000412", "run-000413");

    private CancelledOnHungSite() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Site site = new Site(Path.of(arguments[0]), Site.Deployment.KWELA_ORDERS, BOOT_S)) {
            site.machinesToRent = MACHINES;
            result = run(site, trouble);
            site.log("result: %s", result == 0 ? "held" : result == 1 ? "broken" : "could not run");
            for (int node = 0; node < Site.CONTROLLERS; node++) {
                for (String line : site.logLines(node, "eader")) {
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
        for (int i = 0; i < JOBS.size(); i++) {
            JsonNode job =
                    Site.arrayJob(JOBS.get(i), TASKS_A_JOB, 4)
                            .put("owner", "desk-team-0" + i)
                            .put("expectedS", 600.0);
            if (site.requestWithRetries(0, "POST", "/api/jobs", job, 5000).status() / 100 != 2) {
                return 2;
            }
        }
        double until = site.now() + 30;
        while (tasksOnMachines(site) < JOBS.size() * TASKS_A_JOB) {
            if (site.now() > until) {
                return 2;
            }
            Thread.sleep(50);
        }
        double youngest =
                site.onScheduler(
                        () ->
                                site.machines.values().stream()
                                        .mapToDouble(machine -> machine.rentedAt)
                                        .max()
                                        .orElseThrow());
        Thread.sleep(Math.round(1000 * Math.max(2, youngest + AGE_S - site.now())));
        if (trouble) {
            site.onScheduler(
                    () -> {
                        for (Site.RentedMachine machine : List.copyOf(site.machines.values())) {
                            site.hang(machine, HANG_S);
                        }
                        return null;
                    });
        }
        double cancelledAt = 0;
        for (String job : JOBS) {
            Site.Response cancelled =
                    site.requestWithRetries(1, "POST", "/api/jobs/" + job + "/cancel", null, 5000);
            cancelledAt = site.now();
            if (cancelled.status() != 200
                    || !cancelled.body().path("status").asText().equals("cancelled")) {
                return 2;
            }
        }
        while (site.now() < cancelledAt + Site.CANCEL_S + 0.5) {
            if (tasksOnMachines(site) == 0) {
                site.log(
                        "all tasks are gone %.1f s after the cancellation",
                        site.now() - cancelledAt);
                return 0;
            }
            Thread.sleep(100);
        }
        site.log(
                "rule broken: %d tasks are still on machines %.1f s after their users were told that"
                        + " the jobs are cancelled: %s; cancel_s is %.1f",
                tasksOnMachines(site),
                site.now() - cancelledAt,
                site.onScheduler(site.running::toString),
                Site.CANCEL_S);
        return 1;
    }

    private static int tasksOnMachines(Site site) throws Exception {
        return site.onScheduler(site.running::size);
    }
}
