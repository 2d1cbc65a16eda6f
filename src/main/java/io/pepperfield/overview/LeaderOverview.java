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
import io.pepperfield.placement.QuotaUsage;
import io.pepperfield.store.FencedWriter;
import java.util.Map;

/**
 * Describes a leadership term to operators: machines, teams and the queue. Also provides the
 * summary line for the log. Confined to the event loop.
 */
public final class LeaderOverview {

    /** Heartbeat intervals without contact after which a machine is reported as "silent". */
    private static final double SILENT_INTERVALS = 2;

    private final ClusterState cluster;
    private final FencedWriter writer;
    private final QueueOverview queueOverview;

    /** Creates the overview of one leadership term. */
    public LeaderOverview(
            ClusterState cluster, Dispatcher dispatcher, FencedWriter writer, JobIndex jobIndex) {
        this.cluster = cluster;
        this.writer = writer;
        this.queueOverview = new QueueOverview(cluster, dispatcher, jobIndex);
    }

    /**
     * Returns the summary line for the log: machines, jobs, attempts, waiting tasks, pending
     * writes, starts refused by the last check, attempts in an unknown zone and durations of
     * passes. Resets the durations.
     */
    public String summary() {
        int waitingTasks =
                cluster.jobs().values().stream()
                        .filter(job -> job.finalStatus() == null)
                        .mapToInt(Job::pendingTaskCount)
                        .sum();
        return "machines="
                + cluster.fleet().countByState(cluster.loop().now(), silentAfterS())
                + " jobs="
                + cluster.jobs().size()
                + " attempts="
                + cluster.liveAttempts().size()
                + " waitingTasks="
                + waitingTasks
                + " pendingWrites="
                + writer.pendingCount()
                + " refusedStarts="
                + cluster.fleet().refusedStartCount()
                + " attemptsInUnknownZone="
                + cluster.fleet().attemptsInUnknownZone()
                + " passes="
                + cluster.passDurations().summarizeAndReset();
    }

    private double silentAfterS() {
        return SILENT_INTERVALS * cluster.heartbeatIntervalS();
    }

    /** Adds machines, teams and the queue to the body of {@code GET /api/nodes}. */
    void describe(ObjectNode overview) {
        double now = cluster.loop().now();
        describeMachines(overview.putArray("machines"), now);
        Map<String, QuotaUsage> quotaUsages = cluster.quotaUsages();
        describeTeams(overview.putArray("teams"), quotaUsages);
        queueOverview.describe(overview.putArray("waiting"), quotaUsages, now);
    }

    private void describeMachines(ArrayNode machines, double now) {
        for (Machine machine : cluster.fleet().machines()) {
            MachineType type = cluster.machineTypes().get(machine.type());
            ObjectNode entry =
                    machines.addObject()
                            .put("name", machine.name)
                            .put("type", machine.type())
                            .put("zone", machine.zone())
                            .put("spot", machine.spot())
                            .put("state", state(machine, now))
                            .put("tasks", machine.liveAttemptCount());
            if (type != null) {
                entry.put("freeCpus", machine.freeCpus(type));
            }
        }
    }

    private void describeTeams(ArrayNode teams, Map<String, QuotaUsage> quotaUsages) {
        quotaUsages.keySet().stream()
                .sorted()
                .forEach(name -> describeTeam(teams.addObject(), name, quotaUsages.get(name)));
    }

    private void describeTeam(ObjectNode entry, String name, QuotaUsage quotaUsage) {
        Settings.Team team = cluster.settings().deployment().teams().get(name);
        int waitingTasks =
                cluster.jobs().values().stream()
                        .filter(job -> job.finalStatus() == null && job.spec.team().equals(name))
                        .mapToInt(Job::pendingTaskCount)
                        .sum();
        entry.put("name", name)
                .put("cpus", quotaUsage.usedCpus())
                .put("guaranteed", team.guaranteedCpus())
                .put("waitingTasks", waitingTasks);
        if (Double.isFinite(team.cpuLimit())) {
            entry.put("most", team.cpuLimit());
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
        return machine.unresponsiveFor(now) > silentAfterS() ? "silent" : "up";
    }
}
