package io.pepperfield.placement;

import io.pepperfield.config.Settings;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.JobSpec.Priority;
import io.pepperfield.jobs.JobSpec.Shape;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.standin.ReplayTrace;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Plays kept traces of placement and compares the choices. */
class BinPackerTest {

    private final List<PlacementRequest> requests = new ArrayList<>();
    private final List<FreeCapacity> freeCapacities = new ArrayList<>();
    private final Map<String, QuotaUsage> quotaUsages = new HashMap<>();

    @Test
    void choices() throws IOException {
        ReplayTrace.check("placement.txt", this::play);
    }

    private List<String> play(String[] words) {
        Map<String, String> f = new HashMap<>();
        Arrays.stream(words)
                .filter(w -> w.contains("="))
                .forEach(
                        w ->
                                f.put(
                                        w.substring(0, w.indexOf('=')),
                                        w.substring(w.indexOf('=') + 1)));
        switch (words[0]) {
            case "new" -> {
                requests.clear();
                freeCapacities.clear();
                quotaUsages.clear();
            }
            case "team" ->
                    quotaUsages.put(
                            words[1],
                            new QuotaUsage(
                                    new Settings.Team(
                                            words[1],
                                            number(f, "guaranteed", 0),
                                            number(f, "most", 0),
                                            0,
                                            0),
                                    number(f, "used", 0),
                                    0,
                                    number(f, "lasting", 0),
                                    0));
            case "machine" ->
                    freeCapacities.add(
                            new FreeCapacity(
                                    words[1],
                                    "box",
                                    f.getOrDefault("zone", "east"),
                                    f.containsKey("spot"),
                                    Set.of(f.getOrDefault("has", "nothing")),
                                    new Capacity(number(f, "cpus", 8), 0, 64),
                                    new Capacity(number(f, "most", 64), 0, 64)));
            case "job" -> {
                Shape shape =
                        Shape.valueOf(f.getOrDefault("shape", "array").toUpperCase(Locale.ROOT));
                int waiting = (int) number(f, "waiting", 1);
                Map<String, Integer> perZone = new HashMap<>();
                if (f.containsKey("live")) {
                    perZone.put(f.get("live"), 1);
                }
                JobSpec job =
                        new JobSpecBuilder()
                                .id(words[1])
                                .team(f.getOrDefault("team", "red"))
                                .shape(shape)
                                .rank(
                                        Priority.valueOf(
                                                f.getOrDefault("rank", "standard")
                                                        .toUpperCase(Locale.ROOT)))
                                .tasks((int) number(f, "tasks", waiting))
                                .cpus(number(f, "cpus", 4))
                                .image(f.getOrDefault("image", "img"))
                                .zone(f.get("zone"))
                                .oneZone(f.containsKey("together"))
                                .spread(f.containsKey("spread"))
                                .spot(f.containsKey("spot"))
                                .build();
                Set<String> avoid =
                        f.containsKey("avoid")
                                ? new HashSet<>(Set.of(f.get("avoid")))
                                : new HashSet<>();
                requests.add(
                        PlacementRequest.builder(job, waiting)
                                .withinGuarantee(f.containsKey("within"))
                                .readyAt(requests.size())
                                .tasksPerZone(perZone)
                                .excludedMachines(avoid)
                                .overdue(f.containsKey("overdue"))
                                .reserved(f.containsKey("promised"))
                                .waitedS(number(f, "waited", 0))
                                .build());
            }
            default -> {
                Map<String, Integer> counts = new LinkedHashMap<>();
                BinPacker.place(requests, freeCapacities, quotaUsages)
                        .forEach(
                                c ->
                                        counts.merge(
                                                c.jobId() + " on " + c.machineName(),
                                                1,
                                                Integer::sum));
                return counts.entrySet().stream()
                        .map(e -> e.getValue() + " of " + e.getKey())
                        .toList();
            }
        }
        return List.of();
    }

    private static double number(Map<String, String> fields, String name, double otherwise) {
        return fields.containsKey(name) ? Double.parseDouble(fields.get(name)) : otherwise;
    }
}
