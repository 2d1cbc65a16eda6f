package io.pepperfield.config;

import java.util.Map;

/**
 * Operators' settings for fair admission, see {@code docs/operations/admission.md}.
 *
 * @param acceptanceShare fraction of the state service's write rate that all controllers together
 *     may use to accept jobs
 * @param reserveShare fraction of the acceptance rate reserved for controllers without an allotment
 * @param fairnessBand ratio by which a team's admitted share may deviate from its entitlement
 *     before the overview flags it
 * @param maxPredictedWaitS predicted wait in seconds above which further submissions of a team are
 *     refused
 * @param weights weights by team name, for teams whose weight differs from their guarantee
 */
public record AdmissionSettings(
        double acceptanceShare,
        double reserveShare,
        double fairnessBand,
        double maxPredictedWaitS,
        Map<String, Double> weights) {

    public static final AdmissionSettings DEFAULTS =
            new AdmissionSettings(0.5, 0.5, 0.25, 120, Map.of());
}
