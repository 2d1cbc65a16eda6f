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
 * The leader's side of admission, for one leadership term: divides the rate by the demand that the
 * controllers report, and answers each report with an allotment for that controller.
 */
final class AllotmentIssuer {

    /**
     * Fraction of the rate that is not assigned to any class. It is left for classes that no
     * controller has reported yet, so that their jobs are admitted before the leader learns of
     * them.
     */
    static final double NEW_CLASSES_SHARE = 0.05;

    /** Fraction of a class's demand below which its share counts as not meeting the demand. */
    private static final double MET_DEMAND_RATIO = 0.99;

    /** A demand above any rate, to compute the shares as if every class exceeded its own. */
    private static final double UNBOUNDED_DEMAND = 1e12;

    /** A demand report and the loop time of its receipt. */
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
     * @param fencingToken the fencing token of this leadership term
     * @param electedAt loop time at which this leader learned of its election
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

    /** Replaces the fencing token within the same leadership term. */
    void renewFencingToken(FencingToken renewed) {
        fencingToken = renewed;
    }

    /** Sets the predicted queue waits that are sent with each allotment. */
    void setQueueWaits(List<QueueWait> predicted) {
        queueWaits = predicted;
    }

    /**
     * Returns the allotment that answers a controller's report; empty if the report is a duplicate,
     * out of order, or from an earlier process of the controller.
     */
    Optional<Allotment> issue(DemandReport report, double now) {
        if (!members.recordMessage(
                report.node(), report.processIncarnation(), report.sequence(), now)) {
            return Optional.empty();
        }
        if (report.heldFencingToken().isAtLeast(firstFencingToken)) {
            outstandingAllotments.acknowledge(report.node(), report.heldSerial());
        }
        reports.values()
                .removeIf(received -> now - received.receivedAt > limits.allotmentDurationS());
        reports.put(report.node(), new ReceivedReport(report, now));
        return Optional.of(createAllotment(report, now));
    }

    private Allotment createAllotment(DemandReport report, double now) {
        Division division = new Division();
        int targetExtra = division.extraPerMinute(report);
        int extra =
                Math.min(targetExtra, outstandingAllotments.availablePerMinute(report.node(), now));
        outstandingAllotments.recordIssued(report.node(), ++serial, extra, now);
        return new Allotment(
                report.node(),
                fencingToken,
                serial,
                limits.allotmentDurationS(),
                extra,
                division.classShares(report, extra),
                queueWaits);
    }

    /** Whether a share does not meet the demand. */
    static boolean isUnmet(double share, double demand) {
        return share < MET_DEMAND_RATIO * demand;
    }

    /** The division of the whole rate by the currently reported demand. */
    private final class Division {

        private final SortedMap<WorkloadClass, Double> demand = totalDemand();
        private final SortedMap<WorkloadClass, Double> shares =
                FairDivision.divide(divisibleRate(), demand, limits::teamWeight);
        private final double totalExcess = totalExcess();

        /**
         * Returns the rate to divide: the whole allottable rate, and the part of each fixed share
         * that its controller has demand for.
         */
        private double divisibleRate() {
            double usedFixed = 0;
            for (ReceivedReport received : reports.values()) {
                usedFixed += Math.min(limits.fixedPerMinute(), demandOf(received.report));
            }
            return (limits.allottablePerMinute() + usedFixed) * (1 - NEW_CLASSES_SHARE);
        }

        private double totalExcess() {
            return reports.values().stream().mapToDouble(received -> excess(received.report)).sum();
        }

        /**
         * Returns the entitlement of a controller for one class: the share of the class, split
         * between controllers in proportion to their demand.
         */
        private double entitlement(WorkloadClass workloadClass, ClassDemand localDemand) {
            double classDemand = demand.get(workloadClass);
            return classDemand > 0
                    ? shares.get(workloadClass) * localDemand.perMinute() / classDemand
                    : 0;
        }

        private double entitlement(DemandReport report) {
            double sum = 0;
            for (Map.Entry<WorkloadClass, ClassDemand> entry : report.classes().entrySet()) {
                sum += entitlement(entry.getKey(), entry.getValue());
            }
            return sum;
        }

        /** Returns the entitlement of a controller beyond its fixed share. */
        private double excess(DemandReport report) {
            return Math.max(0, entitlement(report) - limits.fixedPerMinute());
        }

        /**
         * Returns the fraction of the total excess that can be allotted; below 1 where some
         * controllers are entitled to less than their fixed share.
         */
        private double excessScale() {
            return Math.min(1, totalExcess > 0 ? limits.allottablePerMinute() / totalExcess : 1);
        }

        /**
         * Returns the rate to allot to a controller beyond its fixed share. The part of the
         * allottable rate that is not needed for entitlements is divided evenly.
         */
        int extraPerMinute(DemandReport report) {
            double unassigned = limits.allottablePerMinute() - excessScale() * totalExcess;
            return (int) Math.floor(excessScale() * excess(report) + unassigned / reports.size());
        }

        /**
         * Returns the share of each reported class in the controller's fixed share and extra rate.
         */
        SortedMap<WorkloadClass, ClassShare> classShares(DemandReport report, int extra) {
            double usable = (limits.fixedPerMinute() + extra) * (1 - NEW_CLASSES_SHARE);
            double entitled = entitlement(report);
            double scale = entitled > usable ? usable / entitled : 1;
            SortedMap<WorkloadClass, Double> exact = new TreeMap<>();
            report.classes()
                    .forEach(
                            (workloadClass, localDemand) ->
                                    exact.put(
                                            workloadClass,
                                            scale * entitlement(workloadClass, localDemand)));
            SortedMap<WorkloadClass, ClassShare> rounded = new TreeMap<>();
            rounding.computeIfAbsent(report.node(), node -> new LargestRemainder<>())
                    .round(exact)
                    .forEach(
                            (workloadClass, perMinute) ->
                                    rounded.put(
                                            workloadClass,
                                            new ClassShare(perMinute, isLimited(workloadClass))));
            return rounded;
        }

        private boolean isLimited(WorkloadClass workloadClass) {
            return isUnmet(shares.get(workloadClass), demand.get(workloadClass));
        }
    }

    private SortedMap<WorkloadClass, Double> totalDemand() {
        SortedMap<WorkloadClass, Double> demand = new TreeMap<>();
        for (ReceivedReport received : reports.values()) {
            received.report
                    .classes()
                    .forEach(
                            (workloadClass, localDemand) ->
                                    demand.merge(
                                            workloadClass, localDemand.perMinute(), Double::sum));
        }
        return demand;
    }

    private static double demandOf(DemandReport report) {
        return report.classes().values().stream().mapToDouble(ClassDemand::perMinute).sum();
    }

    // ---- state for the overview

    /** Returns the demand and the counts of each class, summed over all reporting controllers. */
    SortedMap<WorkloadClass, ClassDemand> demandByClass() {
        SortedMap<WorkloadClass, ClassDemand> sums = new TreeMap<>();
        for (ReceivedReport received : reports.values()) {
            received.report
                    .classes()
                    .forEach(
                            (workloadClass, localDemand) ->
                                    sums.merge(workloadClass, localDemand, AllotmentIssuer::sum));
        }
        return sums;
    }

    private static ClassDemand sum(ClassDemand first, ClassDemand second) {
        return new ClassDemand(
                first.perMinute() + second.perMinute(),
                first.admitted() + second.admitted(),
                first.refused() + second.refused());
    }

    /** Returns the share of each reported class if the demand of all of them exceeded the rate. */
    SortedMap<WorkloadClass, Double> entitlements() {
        SortedMap<WorkloadClass, Double> unbounded = new TreeMap<>();
        totalDemand()
                .keySet()
                .forEach(workloadClass -> unbounded.put(workloadClass, UNBOUNDED_DEMAND));
        int total = limits.allottablePerMinute() + reports.size() * limits.fixedPerMinute();
        return FairDivision.divide(total, unbounded, limits::teamWeight);
    }

    List<QueueWait> queueWaits() {
        return queueWaits;
    }

    OutstandingAllotments outstandingAllotments() {
        return outstandingAllotments;
    }

    /** Returns the names of the controllers with a recent report. */
    List<String> reportingControllers() {
        return reports.keySet().stream().sorted().toList();
    }
}
