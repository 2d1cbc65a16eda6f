package io.pepperfield.config;

import java.util.Map;

/**
 * Operators' settings for fair admission, see {@code docs/operations/admission.md}.
 *
 * @param acceptanceShare share of the state service's changes per second that all controllers
 *     together may use to accept jobs
 * @param reserveShare share of that rate which is set aside for controllers without an allotment
 * @param fairnessBand how far a team's admitted share may be from its entitlement before the
 *     overview marks it, as a ratio
 * @param maxPredictedWaitS seconds of predicted waiting beyond which further work of a team is
 *     refused
 * @param weights weights of teams that differ from their guarantees, by name
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
