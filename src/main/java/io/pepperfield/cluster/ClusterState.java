package io.pepperfield.cluster;

import io.pepperfield.cloud.InstanceLifecycle;
import io.pepperfield.config.Objectives;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Job;
import io.pepperfield.loop.Loop;
import io.pepperfield.placement.Capacity;
import io.pepperfield.placement.FreeCapacity;
import io.pepperfield.placement.QuotaUsage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiPredicate;

/**
 * The mutable state shared by the leader's components during one term: the jobs, the machines and
 * the live attempts on them. Confined to the event loop.
 *
 * @param jobs jobs by id that have not ended or still have live attempts
 * @param passDurations durations of the dispatch and autoscaling passes
 */
public record ClusterState(
        Loop loop,
        Settings settings,
        Objectives objectives,
        MachineTypes machineTypes,
        Fleet fleet,
        LiveAttempts liveAttempts,
        Map<String, Job> jobs,
        InstanceLifecycle instanceLifecycle,
        BootTracker bootTracker,
        LatencyHistograms passDurations) {

    /** Heartbeat intervals without a heartbeat after which a machine counts as unreachable. */
    private static final double HEARTBEAT_TIMEOUT_INTERVALS = 2.25;

    /** Heartbeat intervals without a heartbeat after which a machine gets no more tasks. */
    private static final double SCHEDULABLE_INTERVALS = 1.5;

    /** Interval in seconds between two heartbeats of a worker. */
    public double heartbeatIntervalS() {
        return settings.deployment().workerTimings().heartbeatIntervalS();
    }

    /**
     * Duration in seconds of a worker's lease, measured from when it sent an answered heartbeat.
     */
    public double leaseS() {
        return settings.deployment().workerTimings().leaseS();
    }

    /**
     * Seconds without a heartbeat after which a machine counts as unreachable. A heartbeat is due
     * within 1.25 intervals. After 1.5 intervals a probe is sent, which times out after half an
     * interval.
     */
    public double heartbeatTimeoutS() {
        return HEARTBEAT_TIMEOUT_INTERVALS * heartbeatIntervalS();
    }

    /** Creates a snapshot of each team's use of its guarantee and limit, by team name. */
    public Map<String, QuotaUsage> quotaUsages() {
        Map<String, QuotaUsage> quotaUsages = new HashMap<>();
        settings.deployment()
                .teams()
                .forEach((name, team) -> quotaUsages.put(name, quotaUsage(name, team)));
        return quotaUsages;
    }

    private QuotaUsage quotaUsage(String name, Settings.Team team) {
        return new QuotaUsage(
                team,
                liveAttempts.usedCpus(name),
                liveAttempts.usedGpus(name),
                liveAttempts.replicaCpus(name),
                liveAttempts.replicaGpus(name));
    }

    /**
     * Creates a snapshot of all machines that may be assigned tasks at loop time {@code now},
     * including full ones.
     */
    public List<FreeCapacity> schedulableMachines(double now) {
        return capacities(now, (machine, type) -> true);
    }

    /** Creates a snapshot of the machines that may be assigned tasks now and have free CPUs. */
    public List<FreeCapacity> machinesWithCapacity(double now) {
        return capacities(now, (machine, type) -> machine.freeCpus(type) > 0);
    }

    private List<FreeCapacity> capacities(double now, BiPredicate<Machine, MachineType> included) {
        List<FreeCapacity> capacities = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            MachineType type = machineTypes.get(machine.type());
            if (type != null && mayBeAssignedTasks(machine, now) && included.test(machine, type)) {
                capacities.add(freeCapacity(machine, type));
            }
        }
        return capacities;
    }

    /**
     * Whether tasks may be assigned to the machine. Excludes machines whose heartbeat is overdue,
     * that replies do not reach, or that have not yet been confirmed to receive messages from this
     * leader, since run orders might not reach them.
     */
    private boolean mayBeAssignedTasks(Machine machine, double now) {
        return machine.isSchedulable(now)
                && machine.unreachableFor(now) < SCHEDULABLE_INTERVALS * heartbeatIntervalS();
    }

    private static FreeCapacity freeCapacity(Machine machine, MachineType type) {
        return new FreeCapacity(
                machine.name,
                machine.attributes(),
                machine.images(),
                new Capacity(
                        machine.freeCpus(type), machine.freeGpus(type), machine.freeMemGb(type)),
                machine.capacityExcludingReplicas(type));
    }

    /**
     * Returns the seconds of work since the attempt's last checkpoint or its start, which would be
     * lost if it were stopped immediately.
     */
    public static double lostWorkS(Attempt attempt, double now) {
        if (!attempt.running()) {
            return 0;
        }
        double runS = now - attempt.runningSince();
        return attempt.job.spec.takesCheckpoints()
                ? runS % attempt.job.spec.checkpointIntervalS()
                : runS;
    }
}
