package io.pepperfield.admission;

import io.pepperfield.config.AdmissionSettings;
import io.pepperfield.config.Settings;
import java.util.HashMap;
import java.util.Map;

/**
 * What there is to divide and by which weights, derived from the settings, which are the same on
 * every controller. Rates are admissions per minute, in whole numbers.
 *
 * @param fixedPerMinute what each controller may admit without anybody's word
 * @param dividedPerMinute what the leader hands out beyond the fixed shares of all controllers
 * @param allotmentDurationS how long an allotment lasts, counted by its holder from the sending of
 *     its request
 * @param requestIntervalS time between two requests of a controller
 * @param weights the weight of each team
 * @param maxPredictedWaitS predicted waiting beyond which further work is refused
 * @param fairnessBand how far a team may be from its entitlement before it is marked
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
     * In heartbeat intervals: long enough for a lost message or two, short enough after a failure.
     */
    private static final double ALLOTMENT_HEARTBEAT_INTERVALS = 1.0;

    private static final double REQUEST_HEARTBEAT_INTERVALS = 0.25;

    static AdmissionLimits of(Settings settings) {
        AdmissionSettings fairness = settings.operators().admission();
        Settings.Deployment deployment = settings.deployment();
        double perMinute =
                deployment.storeLimits().writesPerS()
                        * fairness.acceptanceShare()
                        * SECONDS_PER_MINUTE;
        int fixed =
                (int)
                        Math.floor(
                                perMinute * fairness.reserveShare() / deployment.controllerCount());
        double reportS = deployment.workerTimings().heartbeatIntervalS();
        return new AdmissionLimits(
                fixed,
                (int) Math.floor(perMinute) - fixed * deployment.controllerCount(),
                ALLOTMENT_HEARTBEAT_INTERVALS * reportS,
                REQUEST_HEARTBEAT_INTERVALS * reportS,
                weights(deployment.teams(), fairness.weights()),
                fairness.maxPredictedWaitS(),
                fairness.fairnessBand());
    }

    /**
     * By guarantee unless operators give another weight; a team without a guarantee weighs as much
     * as the least that has one.
     */
    private static Map<String, Double> weights(
            Map<String, Settings.Team> teams, Map<String, Double> given) {
        double least =
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
                                given.getOrDefault(
                                        name,
                                        team.guaranteedCpus() > 0
                                                ? team.guaranteedCpus()
                                                : least)));
        return weights;
    }

    /** Weight of a team; one that the settings do not name is refused before it comes here. */
    double teamWeight(String team) {
        return teamWeights.getOrDefault(team, 1.0);
    }
}
