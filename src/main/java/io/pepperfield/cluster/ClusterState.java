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
 * What the duties of one term share: the jobs, the machines, and the attempts that may be alive on
 * them. All of it is live state, confined to the event loop.
 *
 * @param jobs by id: those that have not ended or may still have an attempt alive
 * @param passDurations how long passes of dispatch and autoscaling took
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

    /** Heartbeat intervals after which a machine without a heartbeat counts as unreachable. */
    private static final double TIMEOUT_INTERVALS = 2.25;

    /** Heartbeat intervals after which a machine without a heartbeat gets no more tasks. */
    private static final double SCHEDULABLE_INTERVALS = 1.5;

    /** Seconds between two heartbeats of a worker. */
    public double heartbeatIntervalS() {
        return settings.deployment().workerTimings().heartbeatIntervalS();
    }

    /** Seconds that a worker's lease lasts from the sending of an answered heartbeat. */
    public double leaseS() {
        return settings.deployment().workerTimings().leaseS();
    }

    /**
     * Seconds without a heartbeat after which a machine counts as unreachable: a heartbeat is due
     * within 1.25 intervals; a probe is sent after 1.5 and has half an interval for its answer.
     */
    public double heartbeatTimeoutS() {
        return TIMEOUT_INTERVALS * heartbeatIntervalS();
    }

    /** A new account of what each team uses of its guarantee and limit, by team. */
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

    /** A new account of all machines that may take tasks at loop time {@code now}, full or not. */
    public List<FreeCapacity> schedulableMachines(double now) {
        return capacities(now, (machine, type) -> true);
    }

    /** A new account of the machines that may take tasks now and have CPUs left. */
    public List<FreeCapacity> machinesWithCapacity(double now) {
        return capacities(now, (machine, type) -> machine.freeCpus(type) > 0);
    }

    private List<FreeCapacity> capacities(double now, BiPredicate<Machine, MachineType> included) {
        List<FreeCapacity> capacities = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            MachineType type = machineTypes.get(machine.type());
            if (type != null && mayTakeTasks(machine, now) && included.test(machine, type)) {
                capacities.add(freeCapacity(machine, type));
            }
        }
        return capacities;
    }

    /**
     * What is late, hears nothing or is not yet known to hear this leader gets no work: it could
     * not be told to start it.
     */
    private boolean mayTakeTasks(Machine machine, double now) {
        return machine.isSchedulable(now)
                && machine.unreachableFor(now) < SCHEDULABLE_INTERVALS * heartbeatIntervalS();
    }

    private static FreeCapacity freeCapacity(Machine machine, MachineType type) {
        return new FreeCapacity(
                machine.name,
                machine.type(),
                machine.zone(),
                machine.spot(),
                machine.images(),
                new Capacity(
                        machine.freeCpus(type), machine.freeGpus(type), machine.freeMemGb(type)),
                machine.capacityExcludingReplicas(type));
    }

    /**
     * Seconds of work since the attempt's last checkpoint or its start, which would be lost if it
     * were stopped at once.
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
