package io.pepperfield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;

/** Properties that the division has for all demands and weights. */
class FairDivisionProperties {

    private static final double TOLERANCE = 1e-6;

    /** A demand and the weight of its claimant. */
    record Claim(double demand, double weight) {}

    @Provide
    Arbitrary<List<Claim>> claims() {
        Arbitrary<Double> demand = Arbitraries.doubles().between(0, 1000).ofScale(3);
        Arbitrary<Double> weight = Arbitraries.doubles().between(0.1, 50).ofScale(2);
        return Combinators.combine(demand, weight).as(Claim::new).list().ofMinSize(1).ofMaxSize(12);
    }

    private static double[] divide(double capacity, List<Claim> claims) {
        return MaxMinFairness.divide(
                capacity,
                claims.stream().mapToDouble(Claim::demand).toArray(),
                claims.stream().mapToDouble(Claim::weight).toArray());
    }

    private static double sum(double[] shares) {
        double sum = 0;
        for (double share : shares) {
            sum += share;
        }
        return sum;
    }

    @Property(seed = "31")
    void sharesNeverExceedDemandAndUseAllUsableCapacity(
            @ForAll("claims") List<Claim> claims,
            @ForAll @DoubleRange(max = 3000) double capacity) {
        double[] shares = divide(capacity, claims);
        double demand = claims.stream().mapToDouble(Claim::demand).sum();
        for (int i = 0; i < shares.length; i++) {
            assertTrue(shares[i] >= 0 && shares[i] <= claims.get(i).demand + TOLERANCE);
        }
        assertEquals(Math.min(capacity, demand), sum(shares), TOLERANCE);
    }

    @Property(seed = "32")
    void everyShareReachesItsEntitlementOrItsDemand(
            @ForAll("claims") List<Claim> claims,
            @ForAll @DoubleRange(max = 3000) double capacity) {
        double[] shares = divide(capacity, claims);
        double weights = claims.stream().mapToDouble(Claim::weight).sum();
        for (int i = 0; i < shares.length; i++) {
            double entitled = capacity * claims.get(i).weight / weights;
            assertTrue(shares[i] >= Math.min(entitled, claims.get(i).demand) - TOLERANCE);
        }
    }

    @Property(seed = "33")
    void shareDoesNotShrinkWhenItsDemandOrWeightGrows(
            @ForAll("claims") List<Claim> claims,
            @ForAll @DoubleRange(max = 3000) double capacity,
            @ForAll @IntRange(max = 11) int position) {
        int index = position % claims.size();
        Claim claim = claims.get(index);
        double before = divide(capacity, claims)[index];
        List<Claim> changed = new ArrayList<>(claims);
        changed.set(index, new Claim(claim.demand * 2, claim.weight));
        assertTrue(divide(capacity, changed)[index] >= before - TOLERANCE);
        changed.set(index, new Claim(claim.demand, claim.weight * 2));
        assertTrue(divide(capacity, changed)[index] >= before - TOLERANCE);
    }

    @Property(seed = "34")
    void floodDoesNotReduceSharesBelowTheirEntitlement(
            @ForAll("claims") List<Claim> claims,
            @ForAll @DoubleRange(max = 3000) double capacity) {
        List<Claim> flooded = new ArrayList<>(claims);
        flooded.add(new Claim(1e9, 1));
        double[] shares = divide(capacity, flooded);
        double weights = claims.stream().mapToDouble(Claim::weight).sum() + 1;
        for (int i = 0; i < claims.size(); i++) {
            double entitled = capacity * claims.get(i).weight / weights;
            assertTrue(shares[i] >= Math.min(entitled, claims.get(i).demand) - TOLERANCE);
        }
    }

    @Property(seed = "35")
    void inputOrderDoesNotAffectTheShares(
            @ForAll("claims") List<Claim> claims,
            @ForAll @DoubleRange(max = 3000) double capacity) {
        Map<WorkloadClass, Double> forward = new LinkedHashMap<>();
        Map<WorkloadClass, Double> backward = new LinkedHashMap<>();
        Map<String, Double> weights = new HashMap<>();
        for (int i = 0; i < claims.size(); i++) {
            weights.put("team-" + i % 4, claims.get(i % 4 % claims.size()).weight);
            forward.put(workloadClass(i), claims.get(i).demand);
            int last = claims.size() - 1 - i;
            backward.put(workloadClass(last), claims.get(last).demand);
        }
        assertEquals(
                FairDivision.divide(capacity, forward, weights::get),
                FairDivision.divide(capacity, backward, weights::get));
    }

    private static WorkloadClass workloadClass(int number) {
        return new WorkloadClass("team-" + number % 4, "class-" + number / 4, false);
    }

    @Property(seed = "36", tries = 200)
    void roundingKeepsTheSumAndNoShareFallsBehindInTheLongRun(
            @ForAll("claims") List<Claim> claims) {
        SortedMap<Integer, Double> exact = new TreeMap<>();
        for (int i = 0; i < claims.size(); i++) {
            exact.put(i, claims.get(i).demand / 100);
        }
        int total = (int) Math.floor(exact.values().stream().mapToDouble(x -> x).sum() + TOLERANCE);
        LargestRemainder<Integer> rounding = new LargestRemainder<>();
        int rounds = 40;
        Map<Integer, Integer> assigned = new HashMap<>();
        for (int round = 0; round < rounds; round++) {
            SortedMap<Integer, Integer> rounded = rounding.round(exact);
            assertEquals(total, rounded.values().stream().mapToInt(x -> x).sum());
            rounded.forEach((key, whole) -> assigned.merge(key, whole, Integer::sum));
        }
        if (total >= 1) {
            // Rounding the sum down may cost each share that loss; no share falls further behind.
            double lostPerRound = exact.values().stream().mapToDouble(x -> x).sum() - total;
            exact.forEach(
                    (key, share) ->
                            assertTrue(
                                    assigned.get(key) >= rounds * (share - lostPerRound) - 3,
                                    () ->
                                            key
                                                    + ": "
                                                    + assigned.get(key)
                                                    + " of "
                                                    + rounds * share));
        }
    }
}
