package io.pepperfield.standin;

import io.pepperfield.config.AdmissionSettings;
import io.pepperfield.config.Feature;
import io.pepperfield.config.OperatorSettings;
import io.pepperfield.config.Settings;
import io.pepperfield.config.Settings.Address;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The settings of a simulated region's controllers. */
public final class RegionSettings {

    private static final Map<String, Double> TEAM_LIMITS =
            Map.of("red", 24.0, "blue", 24.0, "guests", Double.POSITIVE_INFINITY);

    /** The state service's limits before an upgrade. */
    static final Settings.StoreLimits INITIAL_LIMITS = new Settings.StoreLimits(150, 60, 8, 32);

    /** The state service's limits once they are reduced after an upgrade. */
    static final Settings.StoreLimits REDUCED_LIMITS = new Settings.StoreLimits(100, 30, 1, 8);

    /** The state service's limits for a fleet of thousands of machines. */
    static final Settings.StoreLimits LARGE_FLEET_LIMITS =
            new Settings.StoreLimits(600, 300, 8, 40);

    private RegionSettings() {}

    /** Returns the maximum number of CPUs that a team's tasks may use in total. */
    static double teamCpuLimit(String team) {
        return TEAM_LIMITS.get(team);
    }

    /**
     * Returns the settings of one of {@code nodes} controllers, with the given limits of the state
     * service.
     */
    public static Settings of(int index, int nodes, Settings.StoreLimits limits) {
        return of(index, nodes, limits, Set.of());
    }

    /** Returns the settings of one of {@code nodes} controllers with the given features enabled. */
    public static Settings of(
            int index, int nodes, Settings.StoreLimits limits, Set<Feature> features) {
        List<Settings.Member> members = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            if (i != index) {
                members.add(
                        new Settings.Member(
                                "node-" + i, "east", new Address("10.0.0." + (i + 1), 8081)));
            }
        }
        Map<String, Settings.Team> teams = new LinkedHashMap<>();
        for (String team : List.of("red", "blue")) {
            teams.put(team, new Settings.Team(team, 12, teamCpuLimit(team), 0, 0));
        }
        teams.put("guests", new Settings.Team("guests", 0, teamCpuLimit("guests"), 0, 0));
        Settings.Deployment deployment =
                new Settings.Deployment(
                        nodes,
                        List.of("east", "west"),
                        5,
                        teams,
                        // The objective makes services look for machines that cache their image, so
                        // that tests cover this path of placement and preemption.
                        List.of(new Settings.Objective("wait", "gate", 0.5, 0.9, 0)),
                        new Settings.WorkerTimings(
                                SimulatedRegion.HEARTBEAT_INTERVAL_S,
                                SimulatedRegion.LEASE_S,
                                SimulatedRegion.CANCELLATION_DEADLINE_S),
                        limits,
                        new Settings.CloudLimits(20, 2),
                        new Settings.ProcessQuota(1, 256, 1000));
        OperatorSettings operatorSettings =
                new OperatorSettings(
                        10, 0.2, 0.2, 0.85, 0.85, 3, features, AdmissionSettings.DEFAULTS);
        return new Settings(
                "node-" + index,
                "east",
                new Address("10.0.0." + (index + 1), 8080),
                new Address("10.0.0." + (index + 1), 8081),
                members,
                new Address("10.2.0.2", 8443),
                new Address("10.2.0.1", 2379),
                deployment,
                operatorSettings);
    }
}
