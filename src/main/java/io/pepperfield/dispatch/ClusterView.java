package io.pepperfield.dispatch;

import io.pepperfield.cluster.ClusterState;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.ZoneCounts;
import io.pepperfield.placement.FreeCapacity;
import io.pepperfield.placement.QuotaUsage;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Read-only view of the cluster for one scheduling pass. The underlying state does not change until
 * the plan of the pass is executed, as planning and execution run in one step of the event loop.
 * Values are computed on demand, since most passes need only some of them. Free capacities and
 * quota usages are copies that the caller may modify.
 */
final class ClusterView {

    private final ClusterState cluster;
    private final double now;

    /** Creates a view at loop time {@code now}, in seconds. */
    ClusterView(ClusterState cluster, double now) {
        this.cluster = cluster;
        this.now = now;
    }

    /** Returns a new copy of the quota usage of each team, by team name. */
    Map<String, QuotaUsage> quotaUsages() {
        return cluster.quotaUsages();
    }

    /** Returns a new copy of the free capacity of schedulable machines that have free CPUs. */
    List<FreeCapacity> machinesWithCapacity() {
        return cluster.machinesWithCapacity(now);
    }

    /** Returns a new copy of the free capacity of all schedulable machines, including full ones. */
    List<FreeCapacity> schedulableMachines() {
        return cluster.schedulableMachines(now);
    }

    Job job(String id) {
        return cluster.jobs().get(id);
    }

    Machine machine(String name) {
        return cluster.fleet().getMachine(name);
    }

    /** Returns the attempts on a machine that are not proven to have terminated. */
    Collection<Attempt> attemptsOn(String machineName) {
        return machine(machineName).attempts();
    }

    /** Returns a copy of the number of the job's possibly live tasks in each zone. */
    ZoneCounts liveTasksByZone(Job job) {
        return cluster.liveAttempts().countByZone(job);
    }

    /** Returns the seconds of work lost if the attempt is stopped now. */
    double lostWorkS(Attempt attempt) {
        return ClusterState.lostWorkS(attempt, now);
    }

    /**
     * Returns the lowest priority of all possibly live attempts, or the highest if there are none.
     */
    JobSpec.Priority lowestLivePriority() {
        return cluster.liveAttempts().jobs().stream()
                .map(job -> job.effectiveSpec().priority())
                .max(Comparator.naturalOrder())
                .orElse(JobSpec.Priority.PRODUCTION);
    }
}
