package io.pepperfield.cluster;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.UserRequests;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The machine types as the cloud last listed them, and what can never run on them. */
public final class MachineTypes implements UserRequests.Feasibility {

    private static final double ROUNDING_TOLERANCE = 1e-9;

    private final Settings settings;
    private Map<String, MachineType> types = Map.of();

    /** Creates an empty list; {@link #update} fills it. */
    public MachineTypes(Settings settings) {
        this.settings = settings;
    }

    /** Replaces all types. */
    public void update(List<MachineType> all) {
        Map<String, MachineType> next = new LinkedHashMap<>();
        all.forEach(type -> next.put(type.name(), type));
        types = next;
    }

    /** Whether the types have been learnt from the cloud or the key-value store. */
    public boolean known() {
        return !types.isEmpty();
    }

    /** The type of that name, or null. */
    public MachineType get(String name) {
        return types.get(name);
    }

    /** All types. */
    public Collection<MachineType> all() {
        return types.values();
    }

    /** Whether the given types are the same as these, except for their prices. */
    public boolean equalsIgnoringPrices(List<MachineType> others) {
        return others.size() == types.size() && others.stream().allMatch(this::isOffered);
    }

    private boolean isOffered(MachineType other) {
        MachineType type = types.get(other.name());
        return type != null && type.equalsIgnoringPrices(other);
    }

    @Override
    public String infeasibilityReason(JobSpec job) throws UserRequests.UndecidedException {
        Settings.Team team = settings.deployment().teams().get(job.team());
        if (team == null) {
            return "owner: no such team";
        }
        int atOnce = job.minConcurrentTasks();
        if (atOnce * job.cpus() > team.cpuLimit() + ROUNDING_TOLERANCE
                || atOnce * job.gpus() > team.gpuLimit() + ROUNDING_TOLERANCE) {
            return "the job needs more than the team's limit";
        }
        if (job.spreadOverZones() && job.sameZone() && job.tasks() > 1) {
            return "together and spread rule each other out";
        }
        if (!known()) {
            throw new UserRequests.UndecidedException();
        }
        boolean fits =
                types.values().stream()
                        .anyMatch(
                                t ->
                                        (job.machineTypes() == null
                                                        || job.machineTypes().contains(t.name()))
                                                && (job.zone() == null
                                                        || t.zones().contains(job.zone()))
                                                && job.cpus() <= t.cpus() + ROUNDING_TOLERANCE
                                                && job.gpus() <= t.gpus() + ROUNDING_TOLERANCE
                                                && job.memGb() <= t.memGb() + ROUNDING_TOLERANCE);
        return fits ? null : "a task fits no allowed machine type";
    }
}
