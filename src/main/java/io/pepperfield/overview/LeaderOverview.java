package io.pepperfield.overview;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.config.Settings;
import io.pepperfield.dispatch.Dispatcher;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.placement.PlacementRequest;
import io.pepperfield.placement.QuotaUsage;
import io.pepperfield.store.FencedWriter;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** What operators see of a leadership. */
public final class LeaderOverview {

    /** So many of the jobs that one waits for are named. */
    private static final int MAX_DEPENDENCIES_SHOWN = 16;

    private final ClusterState cluster;
    private final Dispatcher dispatcher;
    private final FencedWriter writer;
    private final JobIndex jobIndex;

    /** Creates the overview of one term. */
    public LeaderOverview(
            ClusterState cluster, Dispatcher dispatcher, FencedWriter writer, JobIndex catalog) {
        this.jobIndex = catalog;
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.writer = writer;
    }

    /** A line for the log: machines, attempts, queues and what has been waiting to be written. */
    public String summary() {
        int waiting =
                cluster.jobs().values().stream()
                        .filter(j -> j.finalStatus() == null)
                        .mapToInt(Job::pendingTaskCount)
                        .sum();
        return "machines "
                + cluster.fleet()
                        .countByState(cluster.loop().now(), 2 * cluster.heartbeatIntervalS())
                + ", jobs "
                + cluster.jobs().size()
                + ", attempts "
                + cluster.liveAttempts().size()
                + ", waiting tasks "
                + waiting
                + ", writes waiting "
                + writer.pendingCount()
                + ", passes "
                + cluster.passDurations().summarizeAndReset();
    }

    void describe(ObjectNode node) {
        double now = cluster.loop().now();
        ArrayNode machines = node.putArray("machines");
        for (Machine machine : cluster.fleet().machines()) {
            MachineType type = cluster.machineTypes().get(machine.type());
            ObjectNode line =
                    machines.addObject()
                            .put("name", machine.name)
                            .put("type", machine.type())
                            .put("zone", machine.zone())
                            .put("spot", machine.spot())
                            .put("state", state(machine, now))
                            .put("tasks", machine.liveAttemptCount());
            if (type != null) {
                line.put("freeCpus", machine.freeCpus(type));
            }
        }
        ArrayNode teams = node.putArray("teams");
        Map<String, QuotaUsage> shares = cluster.quotaUsages();
        shares.keySet().stream()
                .sorted()
                .forEach(
                        name -> {
                            Settings.Team team = cluster.settings().deployment().teams().get(name);
                            int waiting =
                                    cluster.jobs().values().stream()
                                            .filter(
                                                    j ->
                                                            j.finalStatus() == null
                                                                    && j.spec.team().equals(name))
                                            .mapToInt(Job::pendingTaskCount)
                                            .sum();
                            ObjectNode line =
                                    teams.addObject()
                                            .put("name", name)
                                            .put("cpus", shares.get(name).usedCpus())
                                            .put("guaranteed", team.guaranteedCpus())
                                            .put("waitingTasks", waiting);
                            if (Double.isFinite(team.cpuLimit())) {
                                line.put("most", team.cpuLimit());
                            }
                        });
        ArrayNode queue = node.putArray("waiting");
        cluster.jobs().values().stream()
                .filter(job -> job.finalStatus() == null && job.isCrashLooping())
                .forEach(
                        job ->
                                queue.addObject()
                                        .put("job", job.spec.id())
                                        .put("team", job.spec.team())
                                        .put("tasks", job.pendingTaskCount())
                                        .put(
                                                "why",
                                                "its tasks fail wherever they are tried; the next try is due in "
                                                        + Math.max(
                                                                0,
                                                                Math.round(
                                                                        job.startNotBefore() - now))
                                                        + " s"));
        cluster.jobs().values().stream()
                .filter(job -> job.finalStatus() == null && job.isAwaitingDependencies())
                .forEach(
                        job ->
                                queue.addObject()
                                        .put("job", job.spec.id())
                                        .put("team", job.spec.team())
                                        .put("tasks", job.spec.tasks())
                                        .put(
                                                "why",
                                                describeDependencies(
                                                        jobIndex.get(job.spec.id())
                                                                .unfinishedDependencies())));
        for (PlacementRequest request : dispatcher.pendingRequests(now)) {
            Job job = cluster.jobs().get(request.job().id());
            if (job.isCrashLooping()) {
                continue;
            }
            boolean limited =
                    shares.get(job.spec.team()).usedCpus() + job.spec.cpus()
                            > cluster.settings()
                                    .deployment()
                                    .teams()
                                    .get(job.spec.team())
                                    .cpuLimit();
            queue.addObject()
                    .put("job", job.spec.id())
                    .put("team", job.spec.team())
                    .put("tasks", request.waitingTasks())
                    .put("rank", job.effectiveSpec().priority().name().toLowerCase(Locale.ROOT))
                    .put("waitedS", Math.round(10 * (now - job.readyAt())) / 10.0)
                    .put(
                            "why",
                            limited
                                    ? "the team's limit"
                                    : !cluster.machineTypes().known()
                                            ? "the machine types are not known"
                                            : "no machine has room");
        }
    }

    private String state(Machine machine, double now) {
        if (machine.releasing()) {
            return "releasing";
        }
        if (!machine.ready()) {
            return "awaited";
        }
        if (machine.draining()) {
            return "draining";
        }
        if (machine.hasReceiveFailure()) {
            return "deaf";
        }
        return machine.silentFor(now) > 2 * cluster.heartbeatIntervalS() ? "silent" : "up";
    }

    /** Bounded, as a job may need as many as its description holds. */
    private static String describeDependencies(List<String> jobs) {
        String shown =
                String.join(", ", jobs.subList(0, Math.min(MAX_DEPENDENCIES_SHOWN, jobs.size())));
        int more = jobs.size() - MAX_DEPENDENCIES_SHOWN;
        return "waits for " + shown + (more > 0 ? " and " + more + " more" : "");
    }
}
