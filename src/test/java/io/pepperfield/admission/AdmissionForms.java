package io.pepperfield.admission;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.admission.Allotment.ClassShare;
import io.pepperfield.admission.DemandReport.ClassDemand;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.forms.GoldenFile;
import io.pepperfield.jobs.JobSpec;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Golden forms of the messages between controllers and the leader about admission. */
public final class AdmissionForms {

    private static final WorkloadClass RECON = new WorkloadClass("red", "recon", false);
    private static final WorkloadClass DEPENDENT = new WorkloadClass("red", "recon", true);

    private AdmissionForms() {}

    /** Adds the path and the messages to a file of forms. */
    public static void write(GoldenFile file) {
        file.add("path", Admission.PATH);
        file.addRoundTripWithFieldMutations(
                "report",
                AdmissionMessages.write(
                        new DemandReport(
                                "node-1",
                                "a-process",
                                7,
                                new FencingToken(41),
                                3,
                                new TreeMap<>(
                                        Map.of(
                                                RECON, new ClassDemand(12.34, 10, 2),
                                                DEPENDENT, new ClassDemand(1, 1, 0))))),
                AdmissionForms::rewriteReport);
        List<QueueWait> waits =
                Stream.of(JobSpec.Priority.values())
                        .map(priority -> new QueueWait("red", priority, 90))
                        .toList();
        file.addRoundTripWithFieldMutations(
                "allotment",
                AdmissionMessages.write(
                        new Allotment(
                                "node-1",
                                new FencingToken(41),
                                3,
                                2.5,
                                60,
                                new TreeMap<>(
                                        Map.of(
                                                RECON, new ClassShare(30, true),
                                                DEPENDENT, new ClassShare(5, false))),
                                waits)),
                AdmissionForms::rewriteAllotment);
    }

    private static String rewriteReport(JsonNode message) {
        DemandReport report = AdmissionMessages.readReport(message).orElse(null);
        return report == null ? null : toText(AdmissionMessages.write(report));
    }

    private static String rewriteAllotment(JsonNode message) {
        Allotment allotment = AdmissionMessages.readAllotment(message).orElse(null);
        return allotment == null ? null : toText(AdmissionMessages.write(allotment));
    }

    private static String toText(byte[] message) {
        return new String(message, StandardCharsets.UTF_8);
    }
}
