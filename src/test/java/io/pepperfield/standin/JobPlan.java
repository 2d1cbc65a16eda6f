package io.pepperfield.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import java.util.List;
import java.util.Locale;

/**
 * A job as its user submits it, and how its tasks behave.
 *
 * @param runDurationsS run times in seconds, assigned to the tasks in turn; tasks of a service run
 *     until it is cancelled
 * @param alwaysFails whether the job is faulty, so that its tasks fail on every machine
 * @param cancelAt time at which its user cancels it, or {@link #NEVER}
 * @param dependencies ids of the jobs that must be done before any of its tasks starts
 */
record JobPlan(
        String id,
        String workload,
        String team,
        String rank,
        boolean service,
        int tasks,
        double cpus,
        List<Double> runDurationsS,
        boolean spot,
        boolean spread,
        boolean oneZone,
        String zone,
        boolean alwaysFails,
        double cancelAt,
        List<String> dependencies) {

    static final double NEVER = Double.MAX_VALUE;

    /** Creates an array without placement constraints. */
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
                id,
                workload,
                team,
                rank,
                service,
                tasks,
                cpus,
                runDurationsS,
                spot,
                spread,
                oneZone,
                zone,
                alwaysFails,
                at,
                dependencies);
    }

    JobPlan dependingOn(List<String> required) {
        return new JobPlan(
                id,
                workload,
                team,
                rank,
                service,
                tasks,
                cpus,
                runDurationsS,
                spot,
                spread,
                oneZone,
                zone,
                alwaysFails,
                cancelAt,
                required);
    }

    JobPlan inOneZone() {
        return new JobPlan(
                id,
                workload,
                team,
                rank,
                service,
                tasks,
                cpus,
                runDurationsS,
                spot,
                spread,
                true,
                zone,
                alwaysFails,
                cancelAt,
                dependencies);
    }

    JobPlan inZone(String requiredZone) {
        return new JobPlan(
                id,
                workload,
                team,
                rank,
                service,
                tasks,
                cpus,
                runDurationsS,
                spot,
                spread,
                oneZone,
                requiredZone,
                alwaysFails,
                cancelAt,
                dependencies);
    }

    JobPlan failing() {
        return new JobPlan(
                id,
                workload,
                team,
                rank,
                service,
                tasks,
                cpus,
                runDurationsS,
                spot,
                spread,
                oneZone,
                zone,
                true,
                cancelAt,
                dependencies);
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
                        .put("together", oneZone)
                        .put("spread", spread)
                        .put("site", zone)
                        .put("reclaimable", spot)
                        .put("expectedS", 5.0)
                        .put("snapshotEveryS", 0.0)
                        .put("snapshotS", 0.0);
        if (!dependencies.isEmpty()) {
            dependencies.forEach(body.putArray("awaits")::add);
        }
        return body;
    }
}
