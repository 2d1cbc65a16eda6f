package io.pepperfield.cluster;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Feasibility;
import io.pepperfield.jobs.JobSpec;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The machine types last listed by the cloud provider, and the check whether a job can ever run on
 * them.
 */
public final class MachineTypes implements Feasibility {

    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final Settings settings;
    private Map<String, MachineType> types = Map.of();

    /** Creates an empty list, to be filled by {@link #update}. */
    public MachineTypes(Settings settings) {
        this.settings = settings;
    }

    /** Replaces all types. */
    public void update(List<MachineType> all) {
        Map<String, MachineType> next = new LinkedHashMap<>();
        all.forEach(type -> next.put(type.name(), type));
        types = next;
    }

    /** Whether the types have been loaded from the cloud provider or the key-value store. */
    public boolean isLoaded() {
        return !types.isEmpty();
    }

    /** Returns the type with this name, or null if it is unknown. */
    public MachineType get(String name) {
        return types.get(name);
    }

    /** Returns all types. */
    public Collection<MachineType> all() {
        return types.values();
    }

    /** Whether the given types are equal to the current types except for their prices. */
    public boolean equalsIgnoringPrices(List<MachineType> others) {
        return others.size() == types.size() && others.stream().allMatch(this::isOffered);
    }

    private boolean isOffered(MachineType other) {
        MachineType type = types.get(other.name());
        return type != null && type.equalsIgnoringPrices(other);
    }

    @Override
    public Verdict check(JobSpec job) {
        Settings.Team team = settings.deployment().teams().get(job.team());
        if (team == null) {
            return new Verdict.Infeasible("owner: no such team");
        }
        int concurrentTasks = job.minConcurrentTasks();
        if (concurrentTasks * job.cpus() > team.cpuLimit() + ROUNDING_TOLERANCE
                || concurrentTasks * job.gpus() > team.gpuLimit() + ROUNDING_TOLERANCE) {
            return new Verdict.Infeasible("the job needs more than the team's limit");
        }
        if (job.spreadOverZones() && job.sameZone() && job.tasks() > 1) {
            return new Verdict.Infeasible("together and spread rule each other out");
        }
        if (!isLoaded()) {
            return new Verdict.Undecided();
        }
        return types.values().stream().anyMatch(type -> isAllowed(job, type) && fits(job, type))
                ? new Verdict.Feasible()
                : new Verdict.Infeasible("a task fits no allowed machine type");
    }

    private static boolean isAllowed(JobSpec job, MachineType type) {
        return (job.machineTypes() == null || job.machineTypes().contains(type.name()))
                && (job.zone() == null || type.zones().contains(job.zone()));
    }

    private static boolean fits(JobSpec job, MachineType type) {
        return job.cpus() <= type.cpus() + ROUNDING_TOLERANCE
                && job.gpus() <= type.gpus() + ROUNDING_TOLERANCE
                && job.memGb() <= type.memGb() + ROUNDING_TOLERANCE;
    }
}
