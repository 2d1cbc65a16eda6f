package io.pepperfield.dispatch;

import io.pepperfield.cluster.ClusterState;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.placement.FreeCapacity;
import io.pepperfield.placement.QuotaUsage;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * The cluster as one pass sees it: nothing can be changed through it, and nothing changes behind it
 * until the pass's plan is carried out, since both happen in one step of the event loop. Its parts
 * are computed when asked for, as most passes need only some of them; accounts (capacities and
 * quotas) are copies for the caller to use up.
 */
final class ClusterView {

    private final ClusterState cluster;
    private final double now;

    /** Looks at the cluster as it is at loop time {@code now}, in seconds. */
    ClusterView(ClusterState cluster, double now) {
        this.cluster = cluster;
        this.now = now;
    }

    /** A new account of what each team uses of its guarantee and limit. */
    Map<String, QuotaUsage> quotaUsages() {
        return cluster.quotaUsages();
    }

    /** A new account of the schedulable machines that have capacity left. */
    List<FreeCapacity> machinesWithCapacity() {
        return cluster.machinesWithCapacity(now);
    }

    /** A new account of all schedulable machines, also of those that are full. */
    List<FreeCapacity> schedulableMachines() {
        return cluster.schedulableMachines(now);
    }

    Job job(String id) {
        return cluster.jobs().get(id);
    }

    Machine machine(String name) {
        return cluster.fleet().getMachine(name);
    }

    /** The attempts on a machine that are not proven gone. */
    Collection<Attempt> attemptsOn(String machineName) {
        return machine(machineName).attempts();
    }

    /** How many of the job's tasks may be alive in each zone, as a copy. */
    Map<String, Integer> liveTasksByZone(Job job) {
        return cluster.liveAttempts().countByZone(job);
    }

    /** Seconds of work that would be lost if the attempt were stopped now. */
    double lostWorkS(Attempt attempt) {
        return ClusterState.lostWorkS(attempt, now);
    }

    /** The lowest priority of which an attempt may be alive; the highest one where none is. */
    JobSpec.Priority lowestLivePriority() {
        return cluster.liveAttempts().jobs().stream()
                .map(job -> job.effectiveSpec().priority())
                .max(Comparator.naturalOrder())
                .orElse(JobSpec.Priority.PRODUCTION);
    }
}
