package io.pepperfield.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.admission.DemandReport.ClassDemand;
import io.pepperfield.fencing.FencingToken;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;

/**
 * The leader's division and its outstanding allotments: three controllers, 100 a minute of which 10
 * each are fixed.
 */
class AllotmentIssuerTest {

    private static final AdmissionLimits LIMITS =
            new AdmissionLimits(10, 70, 3, 0.5, Map.of("red", 2.0, "blue", 1.0), 60, 0.25);
    private static final WorkloadClass RED = new WorkloadClass("red", "batch", false);
    private static final WorkloadClass BLUE = new WorkloadClass("blue", "batch", false);
    private static final FencingToken TOKEN = new FencingToken(7);

    private final AllotmentIssuer issuer = new AllotmentIssuer(LIMITS, "a", TOKEN, 0);
    private final Map<String, Long> sequences = new TreeMap<>();
    private final Map<String, Allotment> held = new TreeMap<>();

    private static SortedMap<WorkloadClass, ClassDemand> demand(double red, double blue) {
        SortedMap<WorkloadClass, ClassDemand> classes = new TreeMap<>();
        classes.put(RED, new ClassDemand(red, 0, 0));
        classes.put(BLUE, new ClassDemand(blue, 0, 0));
        return classes;
    }

    private Allotment ask(String node, double red, double blue, double now) {
        Allotment last = held.get(node);
        Optional<Allotment> next =
                issuer.issue(
                        new DemandReport(
                                node,
                                "p",
                                sequences.merge(node, 1L, Long::sum),
                                last == null ? FencingToken.NONE : last.fencingToken(),
                                last == null ? 0 : last.serial(),
                                demand(red, blue)),
                        now);
        held.put(node, next.orElseThrow());
        return next.get();
    }

    private void settle(double from) {
        for (int i = 0; i < 6; i++) {
            ask("a", 200, 0, from + i * 0.5);
            ask("b", 200, 200, from + i * 0.5);
            ask("c", 0, 200, from + i * 0.5);
        }
    }

    @Test
    void demandSplitOverTwoControllersGivesEachTeamItsWeightedShare() {
        settle(4);
        int red = held.values().stream().mapToInt(one -> one.classes().get(RED).perMinute()).sum();
        int blue =
                held.values().stream().mapToInt(one -> one.classes().get(BLUE).perMinute()).sum();
        // 95 of 100, as 5 are for classes not seen yet; 2 to 1.
        assertEquals(63, red, 3);
        assertEquals(32, blue, 3);
        assertTrue(held.get("b").classes().get(RED).limited());
    }

    @Test
    void newLeaderIssuesNoExtraRateUntilEarlierAllotmentsHaveExpired() {
        assertEquals(0, ask("b", 200, 200, 0.1).extraPerMinute());
        assertEquals(0, ask("b", 200, 200, 3.0).extraPerMinute());
        assertEquals(70, ask("b", 200, 200, 3.1).extraPerMinute());
    }

    @Test
    void rateOfAnUnresponsiveHolderIsNotReissuedBeforeItsAllotmentExpires() {
        assertEquals(70, ask("b", 200, 200, 4).extraPerMinute());
        // It is silent from now on, and may use it to its end.
        assertEquals(0, ask("c", 200, 200, 4.1).extraPerMinute());
        assertEquals(0, ask("c", 200, 200, 7).extraPerMinute());
        assertEquals(70, ask("c", 200, 200, 7.1).extraPerMinute());
    }

    @Test
    void rateFollowsDemandOnceTheOldHolderAcknowledgesItsNewAllotment() {
        settle(4);
        ask("b", 200, 200, 7);
        ask("b", 0, 0, 7.5);
        ask("c", 200, 200, 7.6);
        ask("b", 0, 0, 8);
        ask("a", 0, 0, 8);
        ask("a", 0, 0, 8.2);
        assertTrue(ask("c", 200, 200, 8.3).extraPerMinute() > 60);
    }

    @Test
    void duplicateReportOrReportOfAnEarlierProcessIsIgnored() {
        ask("b", 200, 0, 4);
        Allotment last = ask("b", 200, 0, 4.5);
        DemandReport copy = new DemandReport("b", "p", 1, FencingToken.NONE, 0, demand(0, 500));
        assertEquals(Optional.empty(), issuer.issue(copy, 5));
        assertEquals(
                last.extraPerMinute(), issuer.outstandingAllotments().committedPerMinute("b", 5));
        // Nor one of the process before.
        issuer.issue(new DemandReport("b", "q", 1, FencingToken.NONE, 0, demand(1, 1)), 5.1);
        assertEquals(
                Optional.empty(),
                issuer.issue(
                        new DemandReport("b", "p", 9, FencingToken.NONE, 0, demand(0, 500)), 5.2));
    }

    @Test
    void reducedRateIsNotReissuedBeforeTheHolderAcknowledgesTheReduction() {
        ask("b", 200, 200, 4);
        assertEquals(70, ask("b", 200, 200, 4.5).extraPerMinute());
        ask("c", 200, 200, 4.6);
        assertTrue(ask("b", 0, 0, 5).extraPerMinute() < 40);
        // The answer may be lost.
        assertEquals(0, ask("c", 200, 200, 5.1).extraPerMinute());
        ask("b", 0, 0, 5.5);
        assertTrue(ask("c", 200, 200, 5.6).extraPerMinute() > 30);
    }

    @Test
    void acknowledgementOfAnEarlierLeadersAllotmentFreesNoRate() {
        assertEquals(70, ask("b", 200, 0, 4).extraPerMinute());
        ask("c", 200, 200, 4.1);
        // Its serial is high, but of an earlier token.
        issuer.issue(new DemandReport("b", "p", 50, TOKEN.predecessor(), 99, demand(0, 0)), 4.2);
        assertEquals(70, issuer.outstandingAllotments().committedPerMinute("b", 4.3));
    }

    @Test
    void outstandingAllotmentsNeverExceedTheAllottableRate() {
        java.util.Random random = new java.util.Random(5);
        for (int step = 0; step < 3000; step++) {
            double now = 4 + step * 0.1;
            String node = "abc".substring(step % 3, step % 3 + 1);
            if (random.nextInt(3) > 0) {
                ask(node, random.nextInt(300), random.nextInt(3) * 100, now);
            }
            int sum = 0;
            for (String each : issuer.reportingControllers()) {
                sum += issuer.outstandingAllotments().committedPerMinute(each, now);
            }
            assertTrue(sum <= LIMITS.allottablePerMinute(), sum + " at " + now);
            for (Allotment one : held.values()) {
                int classes = one.classes().values().stream().mapToInt(s -> s.perMinute()).sum();
                assertTrue(classes <= LIMITS.fixedPerMinute() + one.extraPerMinute());
            }
        }
    }
}
