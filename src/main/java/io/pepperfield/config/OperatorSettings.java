package io.pepperfield.config;

import java.util.Set;

/**
 * Operators' settings, read from XML. Every setting has a default, so the file is optional.
 *
 * @param billingUnitS billing unit u of the WIRE algorithm, in seconds
 * @param restartCostShare fraction of u that the restart cost of a machine may reach when it is
 *     released
 * @param partialMachineShare fraction of u that a task must have remaining for a partially filled
 *     last machine to count
 * @param headroomQuantile quantile of recent demand for which machines are kept, for work that must
 *     not wait
 * @param deferrableQuantile the same quantile for work without a wait objective
 * @param maxConcurrentUnresponsiveReleases limit on unresponsive machines being released
 *     concurrently
 * @param features enabled features
 * @param admission settings for fair admission, used if the feature is enabled
 */
public record OperatorSettings(
        double billingUnitS,
        double restartCostShare,
        double partialMachineShare,
        double headroomQuantile,
        double deferrableQuantile,
        int maxConcurrentUnresponsiveReleases,
        Set<Feature> features,
        AdmissionSettings admission) {

    public static final OperatorSettings DEFAULTS =
            new OperatorSettings(60, 0.2, 0.2, 0.8, 0.5, 3, Set.of(), AdmissionSettings.DEFAULTS);

    /** Whether operators have enabled the feature. */
    public boolean isEnabled(Feature feature) {
        return features.contains(feature);
    }
}
