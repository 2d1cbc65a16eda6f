package io.pepperfield.admission;

import io.pepperfield.config.AdmissionSettings;
import io.pepperfield.config.Settings;
import java.util.HashMap;
import java.util.Map;

/**
 * The admission rates and team weights, derived from the settings, which are the same on every
 * controller. Rates are admissions per minute, in whole numbers.
 *
 * @param fixedPerMinute rate at which each controller may admit without an allotment
 * @param allottablePerMinute rate that the leader allots beyond the fixed shares of all controllers
 * @param allotmentDurationS duration of an allotment; its holder counts it from the sending of the
 *     request
 * @param requestIntervalS time between two requests of a controller
 * @param teamWeights the weight of each team
 * @param maxPredictedWaitS predicted queue wait above which further jobs are refused
 * @param fairnessBand fraction by which admissions may fall below the entitlement, or below the
 *     demand if that is smaller, before the overview shows the class as outside the band
 */
record AdmissionLimits(
        int fixedPerMinute,
        int allottablePerMinute,
        double allotmentDurationS,
        double requestIntervalS,
        Map<String, Double> teamWeights,
        double maxPredictedWaitS,
        double fairnessBand) {

    static final double SECONDS_PER_MINUTE = 60;

    /**
     * Duration of an allotment in heartbeat intervals: long enough to survive one or two lost
     * messages, short enough that a failed holder's rate is soon available again.
     */
    private static final double ALLOTMENT_HEARTBEAT_INTERVALS = 1.0;

    /** Time between two requests of a controller, in heartbeat intervals. */
    private static final double REQUEST_HEARTBEAT_INTERVALS = 0.25;

    static AdmissionLimits of(Settings settings) {
        AdmissionSettings fairness = settings.operators().admission();
        Settings.Deployment deployment = settings.deployment();
        double totalPerMinute =
                deployment.storeLimits().writesPerS()
                        * fairness.acceptanceShare()
                        * SECONDS_PER_MINUTE;
        int fixedPerController =
                (int)
                        Math.floor(
                                totalPerMinute
                                        * fairness.reserveShare()
                                        / deployment.controllerCount());
        double heartbeatIntervalS = deployment.workerTimings().heartbeatIntervalS();
        return new AdmissionLimits(
                fixedPerController,
                (int) Math.floor(totalPerMinute)
                        - fixedPerController * deployment.controllerCount(),
                ALLOTMENT_HEARTBEAT_INTERVALS * heartbeatIntervalS,
                REQUEST_HEARTBEAT_INTERVALS * heartbeatIntervalS,
                weights(deployment.teams(), fairness.weights()),
                fairness.maxPredictedWaitS(),
                fairness.fairnessBand());
    }

    /**
     * Returns the weight of each team: the operators' setting if there is one, otherwise the team's
     * guaranteed CPUs. A team without a guarantee has the weight of the smallest guarantee.
     */
    private static Map<String, Double> weights(
            Map<String, Settings.Team> teams, Map<String, Double> configured) {
        double smallestGuarantee =
                teams.values().stream()
                        .mapToDouble(Settings.Team::guaranteedCpus)
                        .filter(cpus -> cpus > 0)
                        .min()
                        .orElse(1);
        Map<String, Double> weights = new HashMap<>();
        teams.forEach(
                (name, team) ->
                        weights.put(
                                name,
                                configured.getOrDefault(
                                        name,
                                        team.guaranteedCpus() > 0
                                                ? team.guaranteedCpus()
                                                : smallestGuarantee)));
        return weights;
    }

    /** Returns the weight of a team. Jobs of teams outside the settings are refused earlier. */
    double teamWeight(String team) {
        return teamWeights.getOrDefault(team, 1.0);
    }
}
