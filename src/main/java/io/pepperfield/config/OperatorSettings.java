package io.pepperfield.config;

import java.util.Set;

/**
 * Operators' own settings, read from XML. Each is a ratio or a count with a default that needs no
 * file.
 *
 * @param billingUnitS WIRE's charging unit u, in seconds
 * @param restartCostShare share of u that a machine's restart cost may reach when it is returned
 * @param partialMachineShare share of u that a task must still have for a partly filled last
 *     machine to count
 * @param headroomQuantile quantile of the demand seen of late for which machines are kept, for work
 *     that must not wait
 * @param steadyQuantile the same quantile for work that has no aim on its wait
 * @param maxConcurrentSilentReleases how many silent machines may be under release at the same time
 * @param features what is switched on
 * @param admission fair admission, where it is switched on
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

    /** Whether operators have switched it on. */
    public boolean isEnabled(Feature feature) {
        return features.contains(feature);
    }
}
