package io.pepperfield.node;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.UserRequests;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The machine types as the cloud last listed them, and what can never run on them. */
final class MachineTypes implements UserRequests.Feasibility {

    private static final double SLACK = 1e-9;

    private final Settings settings;
    private Map<String, MachineType> types = Map.of();

    MachineTypes(Settings settings) {
        this.settings = settings;
    }

    void update(List<MachineType> all) {
        Map<String, MachineType> next = new LinkedHashMap<>();
        all.forEach(type -> next.put(type.name(), type));
        types = next;
    }

    boolean known() {
        return !types.isEmpty();
    }

    MachineType get(String name) {
        return types.get(name);
    }

    Collection<MachineType> all() {
        return types.values();
    }

    /** Whether the given types are the same as these, except for their prices. */
    boolean sameButForPrices(List<MachineType> others) {
        return others.size() == types.size() && others.stream().allMatch(this::offered);
    }

    private boolean offered(MachineType other) {
        MachineType type = types.get(other.name());
        return type != null && type.sameButForPrices(other);
    }

    @Override
    public String refusal(JobSpec job) throws UserRequests.Undecided {
        Settings.Team team = settings.deployment().teams().get(job.team());
        if (team == null) {
            return "owner: no such team";
        }
        int atOnce = job.leastAtOnce();
        if (atOnce * job.cpus() > team.cpusMax() + SLACK
                || atOnce * job.gpus() > team.gpusMax() + SLACK) {
            return "the job needs more than the team's limit";
        }
        if (job.spread() && job.oneZone() && job.tasks() > 1) {
            return "together and spread rule each other out";
        }
        if (!known()) {
            throw new UserRequests.Undecided();
        }
        boolean fits =
                types.values().stream()
                        .anyMatch(
                                t ->
                                        (job.types() == null || job.types().contains(t.name()))
                                                && (job.zone() == null
                                                        || t.zones().contains(job.zone()))
                                                && job.cpus() <= t.cpus() + SLACK
                                                && job.gpus() <= t.gpus() + SLACK
                                                && job.memGb() <= t.memGb() + SLACK);
        return fits ? null : "a task fits no allowed machine type";
    }
}
