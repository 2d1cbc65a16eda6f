package io.pepperfield.admission;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.admission.DemandReport.ClassDemand;
import java.util.Locale;
import java.util.Map;
import java.util.SortedMap;

/** The state of admission on one node as shown to operators; all rates are per minute. */
final class AdmissionOverview {

    private final AdmissionLimits limits;
    private final SubmissionAdmission submissions;
    private final AllotmentIssuer issuer;
    private final double now;

    /**
     * @param issuer null while another node leads
     */
    AdmissionOverview(
            AdmissionLimits limits,
            SubmissionAdmission submissions,
            AllotmentIssuer issuer,
            double now) {
        this.limits = limits;
        this.submissions = submissions;
        this.issuer = issuer;
        this.now = now;
    }

    void describe(ObjectNode node) {
        node.put("fixed", limits.fixedPerMinute())
                .put("mayAdmit", submissions.admissionsPerMinute());
        if (Double.isFinite(submissions.allotmentEndsInS())) {
            node.put("allotmentEndsInS", roundToTenths(submissions.allotmentEndsInS()));
        }
        if (issuer == null) {
            return;
        }
        node.put("divided", limits.allottablePerMinute());
        describeControllers(node.putArray("controllers"));
        describeClasses(node.putArray("classes"));
        describeQueues(node.putArray("queues"));
    }

    private void describeControllers(ArrayNode entries) {
        for (String controller : issuer.reportingControllers()) {
            entries.addObject()
                    .put("node", controller)
                    .put(
                            "allotted",
                            issuer.outstandingAllotments().committedPerMinute(controller, now))
                    .put(
                            "endsInS",
                            roundToTenths(
                                    issuer.outstandingAllotments().lastEndsAt(controller) - now));
        }
    }

    private void describeClasses(ArrayNode entries) {
        SortedMap<WorkloadClass, Double> entitlements = issuer.entitlements();
        for (Map.Entry<WorkloadClass, ClassDemand> entry : issuer.demandByClass().entrySet()) {
            WorkloadClass workloadClass = entry.getKey();
            ClassDemand demand = entry.getValue();
            double entitledDemand = Math.min(entitlements.get(workloadClass), demand.perMinute());
            entries.addObject()
                    .put("team", workloadClass.team())
                    .put("class", workloadClass.workload())
                    .put("dependent", workloadClass.hasDependencies())
                    .put("entitled", roundToTenths(entitlements.get(workloadClass)))
                    .put("demand", roundToTenths(demand.perMinute()))
                    .put("admitted", demand.admitted())
                    .put("refused", demand.refused())
                    .put(
                            "withinBand",
                            demand.admitted() >= entitledDemand * (1 - limits.fairnessBand()));
        }
    }

    private void describeQueues(ArrayNode entries) {
        for (QueueWait wait : issuer.queueWaits()) {
            entries.addObject()
                    .put("team", wait.team())
                    .put("rank", wait.priority().name().toLowerCase(Locale.ROOT))
                    .put("predictedWaitS", roundToTenths(wait.waitS()))
                    .put("beyondLimit", wait.waitS() > limits.maxPredictedWaitS());
        }
    }

    private static double roundToTenths(double value) {
        return Math.round(value * 10) / 10.0;
    }
}
