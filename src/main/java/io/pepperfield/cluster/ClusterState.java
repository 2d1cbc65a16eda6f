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

/**
 * What the parts of one leadership share: the jobs, the machines, and what may be alive on them.
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

    /** Seconds between two heartbeats of a worker. */
    public double heartbeatIntervalS() {
        return settings.deployment().workerTimings().heartbeatIntervalS();
    }

    /** Seconds that a worker's lease lasts from the sending of an answered heartbeat. */
    public double leaseS() {
        return settings.deployment().workerTimings().leaseS();
    }

    /**
     * A report is due within 1.25 periods; a probe is sent after 1.5 and has half a period for its
     * answer.
     */
    public double heartbeatTimeoutS() {
        return 2.25 * heartbeatIntervalS();
    }

    /** What each team uses of its guarantee and limit, by team. */
    public Map<String, QuotaUsage> quotaUsages() {
        Map<String, QuotaUsage> shares = new HashMap<>();
        settings.deployment()
                .teams()
                .forEach(
                        (name, team) ->
                                shares.put(
                                        name,
                                        new QuotaUsage(
                                                team,
                                                liveAttempts.usedCpus(name),
                                                liveAttempts.usedGpus(name),
                                                liveAttempts.replicaCpus(name),
                                                liveAttempts.replicaGpus(name))));
        return shares;
    }

    /**
     * The machines that may take tasks now; with {@code full} also those that have no room left.
     */
    public List<FreeCapacity> freeCapacities(double now, boolean full) {
        List<FreeCapacity> rooms = new ArrayList<>();
        for (Machine machine : fleet.machines()) {
            MachineType type = machineTypes.get(machine.type());
            // What is late, deaf or not yet known to hear this leader gets no work: it could not be
            // told so.
            if (type != null
                    && machine.isSchedulable(now)
                    && machine.unreachableFor(now) < 1.5 * heartbeatIntervalS()
                    && (full || machine.freeCpus(type) > 0)) {
                rooms.add(freeCapacity(machine, type));
            }
        }
        return rooms;
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
                machine.capacityBesideReplicas(type));
    }

    /**
     * Seconds run since its last checkpoint or its start, which stopping it at once would throw
     * away.
     */
    public static double lostWorkS(Attempt attempt, double now) {
        if (!attempt.running()) {
            return 0;
        }
        double ran = now - attempt.runningSince();
        return attempt.job.spec.takesCheckpoints()
                ? ran % attempt.job.spec.checkpointIntervalS()
                : ran;
    }
}
