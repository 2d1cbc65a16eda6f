package io.pepperfield.standin;

import io.pepperfield.config.OperatorSettings;
import io.pepperfield.config.Settings;
import java.util.List;
import java.util.Map;

/**
 * Settings of a single-controller cluster with heartbeats every second, leases of 6 s and limits
 * that no unit test reaches.
 */
public final class SingleNodeSettings {

    private SingleNodeSettings() {}

    /** Returns the settings; the controller is in the first of the given zones. */
    public static Settings of(
            List<String> zones,
            Map<String, Settings.Team> teams,
            List<Settings.Objective> objectives) {
        return new Settings(
                "node-0",
                zones.get(0),
                null,
                null,
                List.of(),
                null,
                null,
                new Settings.Deployment(
                        1,
                        zones,
                        5,
                        teams,
                        objectives,
                        new Settings.WorkerTimings(1, 6, 20),
                        new Settings.StoreLimits(100, 50, 8, 32),
                        new Settings.CloudLimits(2, 2),
                        new Settings.ProcessQuota(1, 256, 1000)),
                OperatorSettings.DEFAULTS);
    }
}
