package io.pepperfield.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;

/**
 * Divides a rate hierarchically: between teams by their weights, then the share of each team
 * between its classes with equal weights. The result does not depend on the order of the input.
 */
final class FairDivision {

    private FairDivision() {}

    /**
     * Divides a rate between all classes with demand.
     *
     * @param teamWeight the weight of a team, positive
     */
    static SortedMap<WorkloadClass, Double> divide(
            double rate, Map<WorkloadClass, Double> demand, ToDoubleFunction<String> teamWeight) {
        SortedMap<String, SortedMap<WorkloadClass, Double>> byTeam = new TreeMap<>();
        demand.forEach(
                (workloadClass, perMinute) ->
                        byTeam.computeIfAbsent(workloadClass.team(), team -> new TreeMap<>())
                                .put(workloadClass, perMinute));
        List<String> teams = new ArrayList<>(byTeam.keySet());
        double[] demands = new double[teams.size()];
        double[] weights = new double[teams.size()];
        for (int i = 0; i < demands.length; i++) {
            demands[i] = sum(byTeam.get(teams.get(i)));
            weights[i] = teamWeight.applyAsDouble(teams.get(i));
        }
        double[] shares = MaxMinFairness.divide(rate, demands, weights);
        SortedMap<WorkloadClass, Double> divided = new TreeMap<>();
        for (int i = 0; i < shares.length; i++) {
            divided.putAll(divideAmongClasses(shares[i], byTeam.get(teams.get(i))));
        }
        return divided;
    }

    private static SortedMap<WorkloadClass, Double> divideAmongClasses(
            double rate, SortedMap<WorkloadClass, Double> demand) {
        List<WorkloadClass> classes = new ArrayList<>(demand.keySet());
        double[] demands = new double[classes.size()];
        double[] weights = new double[classes.size()];
        for (int i = 0; i < demands.length; i++) {
            demands[i] = demand.get(classes.get(i));
            weights[i] = 1;
        }
        double[] shares = MaxMinFairness.divide(rate, demands, weights);
        SortedMap<WorkloadClass, Double> divided = new TreeMap<>();
        for (int i = 0; i < shares.length; i++) {
            divided.put(classes.get(i), shares[i]);
        }
        return divided;
    }

    private static double sum(Map<WorkloadClass, Double> demand) {
        return demand.values().stream().mapToDouble(Double::doubleValue).sum();
    }
}
