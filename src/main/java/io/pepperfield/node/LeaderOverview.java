package io.pepperfield.node;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Catalog;
import io.pepperfield.jobs.Job;
import io.pepperfield.placement.PlacementRequest;
import io.pepperfield.placement.Share;
import io.pepperfield.store.Writer;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What operators see of a leadership. */
final class LeaderOverview {

    /** So many of the jobs that one waits for are named. */
    private static final int MOST_SHOWN = 16;

    private final ClusterState cluster;
    private final Dispatcher dispatcher;
    private final Writer writer;
    private final Catalog catalog;

    LeaderOverview(ClusterState cluster, Dispatcher dispatcher, Writer writer, Catalog catalog) {
        this.catalog = catalog;
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.writer = writer;
    }

    /** A line for the log: machines, attempts, queues and what has been waiting to be written. */
    String summary() {
        int waiting =
                cluster.jobs().values().stream()
                        .filter(j -> j.end() == null)
                        .mapToInt(Job::waitingCount)
                        .sum();
        return "machines "
                + cluster.fleet().census(cluster.loop().now(), 2 * cluster.reportS())
                + ", jobs "
                + cluster.jobs().size()
                + ", attempts "
                + cluster.ledger().size()
                + ", waiting tasks "
                + waiting
                + ", writes waiting "
                + writer.waiting()
                + ", passes "
                + cluster.passes().summary();
    }

    void describe(ObjectNode node) {
        double now = cluster.loop().now();
        ArrayNode machines = node.putArray("machines");
        for (Machine machine : cluster.fleet().machines()) {
            MachineType type = cluster.types().get(machine.type());
            ObjectNode line =
                    machines.addObject()
                            .put("name", machine.name)
                            .put("type", machine.type())
                            .put("zone", machine.zone())
                            .put("spot", machine.spot())
                            .put("state", state(machine, now))
                            .put("tasks", machine.liveCount());
            if (type != null) {
                line.put("freeCpus", machine.freeCpus(type));
            }
        }
        ArrayNode teams = node.putArray("teams");
        Map<String, Share> shares = cluster.shares();
        shares.keySet().stream()
                .sorted()
                .forEach(
                        name -> {
                            Settings.Team team = cluster.settings().deployment().teams().get(name);
                            int waiting =
                                    cluster.jobs().values().stream()
                                            .filter(
                                                    j ->
                                                            j.end() == null
                                                                    && j.spec.team().equals(name))
                                            .mapToInt(Job::waitingCount)
                                            .sum();
                            ObjectNode line =
                                    teams.addObject()
                                            .put("name", name)
                                            .put("cpus", shares.get(name).cpus())
                                            .put("guaranteed", team.cpus())
                                            .put("waitingTasks", waiting);
                            if (Double.isFinite(team.cpusMax())) {
                                line.put("most", team.cpusMax());
                            }
                        });
        ArrayNode queue = node.putArray("waiting");
        cluster.jobs().values().stream()
                .filter(job -> job.end() == null && job.suspect())
                .forEach(
                        job ->
                                queue.addObject()
                                        .put("job", job.spec.id())
                                        .put("team", job.spec.team())
                                        .put("tasks", job.waitingCount())
                                        .put(
                                                "why",
                                                "its tasks fail wherever they are tried; the next try is due in "
                                                        + Math.max(
                                                                0,
                                                                Math.round(job.notBefore() - now))
                                                        + " s"));
        cluster.jobs().values().stream()
                .filter(job -> job.end() == null && job.isAwaiting())
                .forEach(
                        job ->
                                queue.addObject()
                                        .put("job", job.spec.id())
                                        .put("team", job.spec.team())
                                        .put("tasks", job.spec.tasks())
                                        .put(
                                                "why",
                                                waitsFor(catalog.get(job.spec.id()).awaited())));
        for (PlacementRequest request : dispatcher.requests(now)) {
            Job job = cluster.jobs().get(request.job().id());
            if (job.suspect()) {
                continue;
            }
            boolean limited =
                    shares.get(job.spec.team()).cpus() + job.spec.cpus()
                            > cluster.settings()
                                    .deployment()
                                    .teams()
                                    .get(job.spec.team())
                                    .cpusMax();
            queue.addObject()
                    .put("job", job.spec.id())
                    .put("team", job.spec.team())
                    .put("tasks", request.waiting())
                    .put("rank", job.placed().rank().name().toLowerCase(Locale.ROOT))
                    .put("waitedS", Math.round(10 * (now - job.readyAt())) / 10.0)
                    .put(
                            "why",
                            limited
                                    ? "the team's limit"
                                    : !cluster.types().known()
                                            ? "the machine types are not known"
                                            : "no machine has room");
        }
    }

    private String state(Machine machine, double now) {
        if (machine.releasing()) {
            return "releasing";
        }
        if (!machine.up()) {
            return "awaited";
        }
        if (machine.draining()) {
            return "draining";
        }
        if (machine.deaf()) {
            return "deaf";
        }
        return machine.silentFor(now) > 2 * cluster.reportS() ? "silent" : "up";
    }

    /** Bounded, as a job may need as many as its description holds. */
    private static String waitsFor(List<String> jobs) {
        String shown = String.join(", ", jobs.subList(0, Math.min(MOST_SHOWN, jobs.size())));
        int more = jobs.size() - MOST_SHOWN;
        return "waits for " + shown + (more > 0 ? " and " + more + " more" : "");
    }
}
