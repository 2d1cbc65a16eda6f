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
 * Tests the leader's division and its outstanding allotments with three controllers and a rate of
 * 100 per minute, of which each controller has a fixed share of 10.
 */
class AllotmentIssuerTest {

    private static final AdmissionLimits LIMITS =
            new AdmissionLimits(10, 70, 3, 0.5, Map.of("red", 2.0, "blue", 1.0), 60, 0.25);
    private static final WorkloadClass RED = new WorkloadClass("red", "batch", false);
    private static final WorkloadClass BLUE = new WorkloadClass("blue", "batch", false);
    private static final FencingToken TOKEN = new FencingToken(7);

    private final AllotmentIssuer issuer = new AllotmentIssuer(LIMITS, "a", TOKEN, 0);
    private final Map<String, Long> sequences = new TreeMap<>();
    private final Map<String, Allotment> lastAllotments = new TreeMap<>();

    private static SortedMap<WorkloadClass, ClassDemand> demand(double red, double blue) {
        SortedMap<WorkloadClass, ClassDemand> classes = new TreeMap<>();
        classes.put(RED, new ClassDemand(red, 0, 0));
        classes.put(BLUE, new ClassDemand(blue, 0, 0));
        return classes;
    }

    private Allotment reportDemand(String node, double red, double blue, double now) {
        Allotment last = lastAllotments.get(node);
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
        lastAllotments.put(node, next.orElseThrow());
        return next.get();
    }

    private void reportUntilStable(double from) {
        for (int i = 0; i < 6; i++) {
            reportDemand("a", 200, 0, from + i * 0.5);
            reportDemand("b", 200, 200, from + i * 0.5);
            reportDemand("c", 0, 200, from + i * 0.5);
        }
    }

    @Test
    void demandSplitOverTwoControllersGivesEachTeamItsWeightedShare() {
        reportUntilStable(4);
        int red =
                lastAllotments.values().stream()
                        .mapToInt(allotment -> allotment.classes().get(RED).perMinute())
                        .sum();
        int blue =
                lastAllotments.values().stream()
                        .mapToInt(allotment -> allotment.classes().get(BLUE).perMinute())
                        .sum();
        // 95 of 100, as 5 are left for unreported classes, divided 2 to 1 by weight.
        assertEquals(63, red, 3);
        assertEquals(32, blue, 3);
        assertTrue(lastAllotments.get("b").classes().get(RED).limited());
    }

    @Test
    void newLeaderIssuesNoExtraRateUntilEarlierAllotmentsHaveExpired() {
        assertEquals(0, reportDemand("b", 200, 200, 0.1).extraPerMinute());
        assertEquals(0, reportDemand("b", 200, 200, 3.0).extraPerMinute());
        assertEquals(70, reportDemand("b", 200, 200, 3.1).extraPerMinute());
    }

    @Test
    void rateOfAnUnresponsiveHolderIsNotReissuedBeforeItsAllotmentExpires() {
        assertEquals(70, reportDemand("b", 200, 200, 4).extraPerMinute());
        // Controller b sends no more reports, but may use its allotment until it expires.
        assertEquals(0, reportDemand("c", 200, 200, 4.1).extraPerMinute());
        assertEquals(0, reportDemand("c", 200, 200, 7).extraPerMinute());
        assertEquals(70, reportDemand("c", 200, 200, 7.1).extraPerMinute());
    }

    @Test
    void rateFollowsDemandOnceTheOldHolderAcknowledgesItsNewAllotment() {
        reportUntilStable(4);
        reportDemand("b", 200, 200, 7);
        reportDemand("b", 0, 0, 7.5);
        reportDemand("c", 200, 200, 7.6);
        reportDemand("b", 0, 0, 8);
        reportDemand("a", 0, 0, 8);
        reportDemand("a", 0, 0, 8.2);
        assertTrue(reportDemand("c", 200, 200, 8.3).extraPerMinute() > 60);
    }

    @Test
    void duplicateReportOrReportOfAnEarlierProcessIsIgnored() {
        reportDemand("b", 200, 0, 4);
        Allotment last = reportDemand("b", 200, 0, 4.5);
        DemandReport copy = new DemandReport("b", "p", 1, FencingToken.NONE, 0, demand(0, 500));
        assertEquals(Optional.empty(), issuer.issue(copy, 5));
        assertEquals(
                last.extraPerMinute(), issuer.outstandingAllotments().committedPerMinute("b", 5));
        // A report of an earlier process is ignored as well.
        issuer.issue(new DemandReport("b", "q", 1, FencingToken.NONE, 0, demand(1, 1)), 5.1);
        assertEquals(
                Optional.empty(),
                issuer.issue(
                        new DemandReport("b", "p", 9, FencingToken.NONE, 0, demand(0, 500)), 5.2));
    }

    @Test
    void reducedRateIsNotReissuedBeforeTheHolderAcknowledgesTheReduction() {
        reportDemand("b", 200, 200, 4);
        assertEquals(70, reportDemand("b", 200, 200, 4.5).extraPerMinute());
        reportDemand("c", 200, 200, 4.6);
        assertTrue(reportDemand("b", 0, 0, 5).extraPerMinute() < 40);
        // The answer may be lost, so that b still uses its earlier allotment.
        assertEquals(0, reportDemand("c", 200, 200, 5.1).extraPerMinute());
        reportDemand("b", 0, 0, 5.5);
        assertTrue(reportDemand("c", 200, 200, 5.6).extraPerMinute() > 30);
    }

    @Test
    void acknowledgementOfAnEarlierLeadersAllotmentFreesNoRate() {
        assertEquals(70, reportDemand("b", 200, 0, 4).extraPerMinute());
        reportDemand("c", 200, 200, 4.1);
        // The acknowledged serial is higher, but belongs to an earlier fencing token.
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
                reportDemand(node, random.nextInt(300), random.nextInt(3) * 100, now);
            }
            int sum = 0;
            for (String controller : issuer.reportingControllers()) {
                sum += issuer.outstandingAllotments().committedPerMinute(controller, now);
            }
            assertTrue(
                    sum <= LIMITS.allottablePerMinute(), sum + " per minute outstanding at " + now);
            for (Allotment allotment : lastAllotments.values()) {
                int classes =
                        allotment.classes().values().stream()
                                .mapToInt(share -> share.perMinute())
                                .sum();
                assertTrue(classes <= LIMITS.fixedPerMinute() + allotment.extraPerMinute());
            }
        }
    }
}
