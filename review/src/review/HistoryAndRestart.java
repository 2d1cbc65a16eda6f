package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * The controllers crash and come back when the state service holds the finished jobs of some days.
 * The history consists of copies of the keys that the controllers themselves wrote for one job of
 * each class, and reaches the running controllers as changes of the state service.
 */
public final class HistoryAndRestart {

    /** Jobs a minute: recon-arrays, order-gateway and margin-checks. */
    private static final double ARRIVALS_A_MINUTE = 8.1 + 1.1 + 10;

    private static final int JOBS = 40_000;
    private static final int FIRST_ID = 500_000;
    private static final int JOBS_A_TRANSACTION = 12;
    private static final double RESTART_S = 5;

    /** A job about which no question is answered for this long counts as forgotten. */
    private static final double FORGOTTEN_AFTER_S = 75;

    private static final String[] MODELS = {"run-000001", "run-000002", "run-000003"};

    private HistoryAndRestart() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Site site = new Site(Path.of(arguments[0]), Site.Deployment.KWELA_ORDERS, 2)) {
            site.taskDurationS = 1;
            site.services.add(MODELS[1]);
            result = run(site, trouble);
            site.log("result: %s", result == 0 ? "held" : result == 1 ? "broken" : "could not run");
        }
        System.exit(result);
    }

    private static int run(Site site, boolean trouble) throws Exception {
        site.startControllers();
        if (!site.awaitHealthy(15) || !runModels(site)) {
            return 2;
        }
        writeHistory(site);
        if (!awaitHistory(site, 30)) {
            return 2;
        }
        if (trouble) {
            restartAll(site);
        }
        return poll(site, FORGOTTEN_AFTER_S + 1);
    }

    // ---- the history

    private static boolean runModels(Site site) throws Exception {
        ObjectNode recon = Site.arrayJob(MODELS[0], 13, 4);
        ObjectNode gateway =
                Site.arrayJob(MODELS[1], 2, 2)
                        .put("workload", "order-gateway")
                        .put("shape", "standing")
                        .put("rank", "production")
                        .put("spread", true)
                        .put("reclaimable", false)
                        .put("expectedS", 0.0);
        ObjectNode margin =
                Site.arrayJob(MODELS[2], 7, 1)
                        .put("workload", "margin-checks")
                        .put("rank", "urgent")
                        .put("dueS", 32.5);
        for (ObjectNode job : List.of(recon, gateway, margin)) {
            if (site.requestWithRetries(0, "POST", "/api/jobs", job, 5000).status() != 201) {
                return false;
            }
        }
        double until = site.now() + 40;
        boolean cancelled = false;
        while (site.now() < until) {
            if (!cancelled && site.onScheduler(() -> site.running.containsKey(MODELS[1] + "/1"))) {
                cancelled = true;
                String path = "/api/jobs/" + MODELS[1] + "/cancel";
                site.requestWithRetries(0, "POST", path, null, 5000);
            }
            boolean allEnded = true;
            for (String model : MODELS) {
                allEnded &= site.stored("pepperfield/end/" + model) != null;
            }
            if (allEnded) {
                return true;
            }
            Thread.sleep(100);
        }
        return false;
    }

    /** The keys that the controllers wrote for a model, by their names behind its id. */
    private static Map<String, JsonNode> modelKeys(Site site, String model) throws Exception {
        Map<String, JsonNode> keys = new LinkedHashMap<>();
        for (String type : List.of("job", "run", "end")) {
            for (String key : site.storedKeys("pepperfield/" + type + "/" + model)) {
                keys.put(key, site.stored(key));
            }
        }
        return keys;
    }

    private static void writeHistory(Site site) throws Exception {
        List<Map<String, JsonNode>> models = new ArrayList<>();
        for (String model : MODELS) {
            models.add(modelKeys(site, model));
            site.log("keys of %s: %s", model, models.get(models.size() - 1));
        }
        Map<String, JsonNode> values = new LinkedHashMap<>();
        int bytes = 0;
        for (int i = 0; i < JOBS; i++) {
            // Of each 19 jobs 8 are recon-arrays, 1 is an order-gateway and 10 are margin-checks.
            int model = i % 19 < 8 ? 0 : i % 19 == 8 ? 1 : 2;
            for (Map.Entry<String, JsonNode> entry : models.get(model).entrySet()) {
                values.put(entry.getKey().replace(MODELS[model], id(i)), entry.getValue());
                bytes += entry.getValue().toString().length();
            }
            if (i % JOBS_A_TRANSACTION == JOBS_A_TRANSACTION - 1 || i == JOBS - 1) {
                site.store(values);
                values.clear();
            }
            if (i % 600 == 599) {
                // The controllers get the history in parts, as they do in ordinary service.
                Thread.sleep(100);
            }
        }
        site.log(
                "history of %d jobs in the state service, %.1f MB of values: %.1f days at %.1f jobs a"
                        + " minute",
                JOBS, bytes / 1e6, JOBS / ARRIVALS_A_MINUTE / 60 / 24, ARRIVALS_A_MINUTE);
    }

    private static String id(int job) {
        return String.format(Locale.ROOT, "run-%06d", FIRST_ID + job);
    }

    /** Waits until every controller answers for the last job of the history. */
    private static boolean awaitHistory(Site site, double timeoutS) throws Exception {
        double until = site.now() + timeoutS;
        for (int node = 0; node < Site.CONTROLLERS; node++) {
            String path = "/api/jobs/" + id(JOBS - 1);
            Site.Response response = site.request(node, "GET", path, null, 2000);
            while (response.status() != 200) {
                if (site.now() > until) {
                    return false;
                }
                Thread.sleep(200);
                response = site.request(node, "GET", path, null, 2000);
            }
            site.log("user: GET %s at worker-%d -> 200 %s", path, node, response.body());
        }
        return true;
    }

    // ---- the disruption

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
     * Asks all controllers in turn for one job, as its user does, and starts each controller that
     * ended by itself again, as the platform does. Returns 1 if no question was answered for the
     * given time.
     */
    private static int poll(Site site, double seconds) throws Exception {
        String path = "/api/jobs/" + MODELS[0];
        double from = site.now();
        double[] restartAt = new double[Site.CONTROLLERS];
        int ends = 0;
        int answered = 0;
        for (int attempt = 0; site.now() < from + seconds; attempt++) {
            int node = attempt % Site.CONTROLLERS;
            Site.Response response = site.request(node, "GET", path, null, 2000);
            site.log(
                    "user: GET %s at worker-%d -> %d %s",
                    path, node, response.status(), response.body());
            if (response.status() == 200) {
                answered++;
                if (answered >= 10) {
                    site.log("%d questions answered, %d ends by itself", answered, ends);
                    return 0;
                }
            }
            for (int other = 0; other < Site.CONTROLLERS; other++) {
                if (site.endedByItself(other)) {
                    if (restartAt[other] == 0) {
                        ends++;
                        restartAt[other] = site.now() + RESTART_S;
                        site.log("last line of worker-%d: %s", other, site.lastLogLine(other));
                    } else if (site.now() >= restartAt[other]) {
                        restartAt[other] = 0;
                        site.startController(other);
                    }
                }
            }
            Thread.sleep(1000);
        }
        if (answered > 0) {
            site.log("%d questions answered, %d ends by itself", answered, ends);
            return 0;
        }
        site.log(
                "rule broken: no question about %s was answered for %.1f s; controllers ended by"
                        + " themselves %d times",
                MODELS[0], site.now() - from, ends);
        return 1;
    }
}
