package io.pepperfield.admission;

import io.pepperfield.admission.Allotment.ClassShare;
import io.pepperfield.admission.DemandReport.ClassDemand;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.peer.Membership;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The leader's side, for as long as one leadership lasts: divides the rate by the demand that the
 * controllers report, and answers each report with that controller's allotment.
 */
final class AllotmentIssuer {

    /**
     * Of the rate, what no class is given, for classes that nobody has reported yet: they have a
     * share before the leader knows them.
     */
    static final double NEW_CLASSES_SHARE = 0.05;

    /** Below this part of its demand a class's share does not meet it. */
    private static final double MET_DEMAND_RATIO = 0.99;

    /** Beyond any rate, to see what each class would get if all asked for more than there is. */
    private static final double UNBOUNDED_DEMAND = 1e12;

    /** A report and when it came. */
    private record ReceivedReport(DemandReport report, double receivedAt) {}

    private final AdmissionLimits limits;
    private final FencingToken firstFencingToken;
    private final Membership members;
    private final OutstandingAllotments outstandingAllotments;
    private final Map<String, ReceivedReport> reports = new HashMap<>();
    private final Map<String, LargestRemainder<WorkloadClass>> rounding = new HashMap<>();
    private FencingToken fencingToken;
    private long serial;
    private List<QueueWait> queueWaits = List.of();

    /**
     * @param fencingToken this leadership's token
     * @param electedAt when this leader learnt that it leads
     */
    AllotmentIssuer(
            AdmissionLimits limits, String self, FencingToken fencingToken, double electedAt) {
        this.limits = limits;
        this.firstFencingToken = fencingToken;
        this.fencingToken = fencingToken;
        this.members = new Membership(self, limits.allotmentDurationS());
        this.outstandingAllotments =
                new OutstandingAllotments(
                        limits.allottablePerMinute(), limits.allotmentDurationS(), electedAt);
    }

    /** The same leadership has another fencing token. */
    void renewFencingToken(FencingToken renewed) {
        fencingToken = renewed;
    }

    /** The queues whose waiting the controllers are to know. */
    void setQueueWaits(List<QueueWait> predicted) {
        queueWaits = predicted;
    }

    /** The answer to a controller's report; empty where the report is a late copy. */
    Optional<Allotment> issue(DemandReport report, double now) {
        if (!members.recordMessage(
                report.node(), report.processIncarnation(), report.sequence(), now)) {
            return Optional.empty();
        }
        if (report.heldFencingToken().isAtLeast(firstFencingToken)) {
            outstandingAllotments.acknowledge(report.node(), report.heldSerial());
        }
        reports.values().removeIf(known -> now - known.receivedAt > limits.allotmentDurationS());
        reports.put(report.node(), new ReceivedReport(report, now));
        return Optional.of(allot(report, now));
    }

    private Allotment allot(DemandReport report, double now) {
        Division division = new Division();
        int wanted = division.extraPerMinute(report);
        int extra = Math.min(wanted, outstandingAllotments.availablePerMinute(report.node(), now));
        outstandingAllotments.recordIssued(report.node(), ++serial, extra, now);
        return new Allotment(
                report.node(),
                fencingToken,
                serial,
                limits.allotmentDurationS(),
                extra,
                division.classes(report, extra),
                queueWaits);
    }

    /** Whether a share leaves demand unmet. */
    static boolean isUnmet(double share, double demand) {
        return share < MET_DEMAND_RATIO * demand;
    }

    /** The division of the whole rate by the demand that is known now. */
    private final class Division {

        private final SortedMap<WorkloadClass, Double> demand = totalDemand();
        private final SortedMap<WorkloadClass, Double> shares =
                FairDivision.divide(usable(), demand, limits::teamWeight);
        private final double excess = totalExcess();

        /**
         * What is divided: all that the leader hands out, and of the fixed shares what their
         * controllers have demand for.
         */
        private double usable() {
            double fixed = 0;
            for (ReceivedReport known : reports.values()) {
                fixed += Math.min(limits.fixedPerMinute(), demandOf(known.report));
            }
            return (limits.allottablePerMinute() + fixed) * (1 - NEW_CLASSES_SHARE);
        }

        private double totalExcess() {
            return reports.values().stream().mapToDouble(known -> excess(known.report)).sum();
        }

        /** What a controller is due of one class: the class's share by where its demand is. */
        private double entitlement(WorkloadClass workloadClass, ClassDemand localDemand) {
            double all = demand.get(workloadClass);
            return all > 0 ? shares.get(workloadClass) * localDemand.perMinute() / all : 0;
        }

        private double entitlement(DemandReport report) {
            double sum = 0;
            for (Map.Entry<WorkloadClass, ClassDemand> entry : report.classes().entrySet()) {
                sum += entitlement(entry.getKey(), entry.getValue());
            }
            return sum;
        }

        /** What a controller is due beyond its fixed share. */
        private double excess(DemandReport report) {
            return Math.max(0, entitlement(report) - limits.fixedPerMinute());
        }

        /** Part of the excess that can be given; the fixed shares of some may lie idle. */
        private double scale() {
            return Math.min(1, excess > 0 ? limits.allottablePerMinute() / excess : 1);
        }

        /** A controller's part beyond its fixed share; what nobody is due is given evenly. */
        int extraPerMinute(DemandReport report) {
            double evenly = limits.allottablePerMinute() - scale() * excess;
            return (int) Math.floor(scale() * excess(report) + evenly / reports.size());
        }

        SortedMap<WorkloadClass, ClassShare> classes(DemandReport report, int extra) {
            double most = (limits.fixedPerMinute() + extra) * (1 - NEW_CLASSES_SHARE);
            double due = entitlement(report);
            double factor = due > most ? most / due : 1;
            SortedMap<WorkloadClass, Double> exact = new TreeMap<>();
            report.classes()
                    .forEach(
                            (known, asked) -> exact.put(known, factor * entitlement(known, asked)));
            SortedMap<WorkloadClass, ClassShare> rounded = new TreeMap<>();
            rounding.computeIfAbsent(report.node(), node -> new LargestRemainder<>())
                    .round(exact)
                    .forEach(
                            (known, perMinute) ->
                                    rounded.put(
                                            known, new ClassShare(perMinute, isLimited(known))));
            return rounded;
        }

        private boolean isLimited(WorkloadClass workloadClass) {
            return isUnmet(shares.get(workloadClass), demand.get(workloadClass));
        }
    }

    private SortedMap<WorkloadClass, Double> totalDemand() {
        SortedMap<WorkloadClass, Double> demand = new TreeMap<>();
        for (ReceivedReport known : reports.values()) {
            known.report
                    .classes()
                    .forEach(
                            (workloadClass, asked) ->
                                    demand.merge(workloadClass, asked.perMinute(), Double::sum));
        }
        return demand;
    }

    private static double demandOf(DemandReport report) {
        return report.classes().values().stream().mapToDouble(ClassDemand::perMinute).sum();
    }

    // ---- what operators see

    /** The demand and the counts of each class on all controllers together. */
    SortedMap<WorkloadClass, ClassDemand> demandByClass() {
        SortedMap<WorkloadClass, ClassDemand> sums = new TreeMap<>();
        for (ReceivedReport known : reports.values()) {
            known.report
                    .classes()
                    .forEach(
                            (workloadClass, asked) ->
                                    sums.merge(workloadClass, asked, AllotmentIssuer::sum));
        }
        return sums;
    }

    private static ClassDemand sum(ClassDemand first, ClassDemand second) {
        return new ClassDemand(
                first.perMinute() + second.perMinute(),
                first.admitted() + second.admitted(),
                first.refused() + second.refused());
    }

    /** What each class is entitled to if all classes known now ask for more than there is. */
    SortedMap<WorkloadClass, Double> entitlements() {
        SortedMap<WorkloadClass, Double> unbounded = new TreeMap<>();
        totalDemand()
                .keySet()
                .forEach(workloadClass -> unbounded.put(workloadClass, UNBOUNDED_DEMAND));
        int all = limits.allottablePerMinute() + reports.size() * limits.fixedPerMinute();
        return FairDivision.divide(all, unbounded, limits::teamWeight);
    }

    List<QueueWait> queueWaits() {
        return queueWaits;
    }

    OutstandingAllotments outstandingAllotments() {
        return outstandingAllotments;
    }

    /** The controllers whose reports are counted. */
    List<String> reportingControllers() {
        return reports.keySet().stream().sorted().toList();
    }
}
