package io.pepperfield.overview;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.dispatch.Dispatcher;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobIndex;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.placement.PlacementRequest;
import io.pepperfield.placement.QuotaUsage;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Describes to operators which jobs wait, and for what reason. Confined to the event loop. */
final class QueueOverview {

    /** Maximum number of unfinished dependencies that are listed for a job. */
    private static final int MAX_DEPENDENCIES_SHOWN = 16;

    private final ClusterState cluster;
    private final Dispatcher dispatcher;
    private final JobIndex jobIndex;

    QueueOverview(ClusterState cluster, Dispatcher dispatcher, JobIndex jobIndex) {
        this.cluster = cluster;
        this.dispatcher = dispatcher;
        this.jobIndex = jobIndex;
    }

    /**
     * Adds an object for each waiting job: first crash-looping jobs, then jobs with unfinished
     * dependencies, then pending jobs.
     */
    void describe(ArrayNode queue, Map<String, QuotaUsage> quotaUsages, double now) {
        for (Job job : cluster.jobs().values()) {
            if (job.finalStatus() == null && job.isCrashLooping()) {
                addJob(queue, job.spec, job.pendingTaskCount())
                        .put("why", describeNextProbe(job, now));
            }
        }
        for (Job job : cluster.jobs().values()) {
            if (job.finalStatus() == null && job.isAwaitingDependencies()) {
                addJob(queue, job.spec, job.spec.tasks()).put("why", describeDependencies(job));
            }
        }
        for (PlacementRequest request : dispatcher.pendingRequests(now)) {
            Job job = cluster.jobs().get(request.job().id());
            if (!job.isCrashLooping()) {
                describePending(queue, job, request.pendingTasks(), quotaUsages, now);
            }
        }
    }

    private static ObjectNode addJob(ArrayNode queue, JobSpec job, int tasks) {
        return queue.addObject().put("job", job.id()).put("team", job.team()).put("tasks", tasks);
    }

    private void describePending(
            ArrayNode queue,
            Job job,
            int waitingTasks,
            Map<String, QuotaUsage> quotaUsages,
            double now) {
        String priority = job.effectiveSpec().priority().name().toLowerCase(Locale.ROOT);
        addJob(queue, job.spec, waitingTasks)
                .put("rank", priority)
                .put("waitedS", Math.round(10 * (now - job.readyAt())) / 10.0)
                .put("why", pendingReason(job, quotaUsages.get(job.spec.team())));
    }

    private String pendingReason(Job job, QuotaUsage quotaUsage) {
        double cpuLimit = cluster.settings().deployment().teams().get(job.spec.team()).cpuLimit();
        if (quotaUsage.usedCpus() + job.spec.cpus() > cpuLimit) {
            return "the team's limit";
        }
        return cluster.machineTypes().isLoaded()
                ? "no machine has room"
                : "the machine types are not known";
    }

    private static String describeNextProbe(Job job, double now) {
        double backoffS = job.startNotBefore() - now;
        String nextProbe =
                backoffS > 0
                        ? "is due in " + Math.round(backoffS) + " s"
                        : "waits for a machine with room";
        return "its tasks fail wherever they are tried; the next try " + nextProbe;
    }

    /**
     * Returns which jobs the job waits for. The list is bounded because a job may have a large
     * number of dependencies.
     */
    private String describeDependencies(Job job) {
        List<String> unfinished = jobIndex.get(job.spec.id()).unfinishedDependencies();
        int shown = Math.min(MAX_DEPENDENCIES_SHOWN, unfinished.size());
        int more = unfinished.size() - shown;
        return "waits for "
                + String.join(", ", unfinished.subList(0, shown))
                + (more > 0 ? " and " + more + " more" : "");
    }
}
