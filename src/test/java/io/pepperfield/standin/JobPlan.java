package io.pepperfield.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import java.util.List;
import java.util.Locale;

/**
 * A job as its user submits it, and what its tasks do.
 *
 * @param runS run times of the tasks in turn; a service's tasks run until it is cancelled
 * @param mistaken submitted with a mistake: its tasks fail wherever they run
 * @param cancelAt when its user cancels it, or {@link #NEVER}
 * @param awaits jobs that must be done before any of its tasks starts
 */
record JobPlan(
        String id,
        String workload,
        String team,
        String rank,
        boolean service,
        int tasks,
        double cpus,
        List<Double> runS,
        boolean spot,
        boolean spread,
        boolean together,
        String zone,
        boolean mistaken,
        double cancelAt,
        List<String> awaits) {

    static final double NEVER = Double.MAX_VALUE;

    /** An array that may run anywhere. */
    static JobPlan array(
            int number,
            String workload,
            String team,
            String rank,
            int tasks,
            double cpus,
            List<Double> runS,
            boolean spot) {
        return new JobPlan(
                id(number),
                workload,
                team,
                rank,
                false,
                tasks,
                cpus,
                runS,
                spot,
                false,
                false,
                null,
                false,
                NEVER,
                List.of());
    }

    static String id(int number) {
        return String.format(Locale.ROOT, "run-%06d", number);
    }

    JobPlan cancelledAt(double at) {
        return new JobPlan(
                id, workload, team, rank, service, tasks, cpus, runS, spot, spread, together, zone,
                mistaken, at, awaits);
    }

    JobPlan after(List<String> needed) {
        return new JobPlan(
                id, workload, team, rank, service, tasks, cpus, runS, spot, spread, together, zone,
                mistaken, cancelAt, needed);
    }

    JobPlan inOneZone() {
        return new JobPlan(
                id, workload, team, rank, service, tasks, cpus, runS, spot, spread, true, zone,
                mistaken, cancelAt, awaits);
    }

    JobPlan boundTo(String only) {
        return new JobPlan(
                id, workload, team, rank, service, tasks, cpus, runS, spot, spread, together, only,
                mistaken, cancelAt, awaits);
    }

    JobPlan withMistake() {
        return new JobPlan(
                id, workload, team, rank, service, tasks, cpus, runS, spot, spread, together, zone,
                true, cancelAt, awaits);
    }

    ObjectNode body() {
        ObjectNode body =
                Json.object()
                        .put("nameId", id)
                        .put("workload", workload)
                        .put("owner", team)
                        .put("shape", service ? "standing" : "sweep")
                        .put("rank", rank)
                        .put("shards", tasks)
                        .put("vcpus", cpus)
                        .put("accelerators", 0.0)
                        .put("memGb", cpus)
                        .put("bundle", "img-1")
                        .put("pullGb", 0.4)
                        .put("together", together)
                        .put("spread", spread)
                        .put("site", zone)
                        .put("reclaimable", spot)
                        .put("expectedS", 5.0)
                        .put("snapshotEveryS", 0.0)
                        .put("snapshotS", 0.0);
        if (!awaits.isEmpty()) {
            awaits.forEach(body.putArray("awaits")::add);
        }
        return body;
    }
}
