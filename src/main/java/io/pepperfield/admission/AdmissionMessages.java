package io.pepperfield.admission;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.admission.Allotment.ClassShare;
import io.pepperfield.admission.DemandReport.ClassDemand;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The JSON encoding of demand reports and allotments; the only place with their field names. A
 * workload class is an array of its team, its workload, whether its jobs wait for other jobs, and
 * its figures.
 */
final class AdmissionMessages {

    /** Reports with a larger demand are rejected as malformed. */
    private static final double MAX_PER_MINUTE = 1e9;

    private AdmissionMessages() {}

    static byte[] write(DemandReport report) {
        ObjectNode node =
                Json.object()
                        .put("node", report.node())
                        .put("process", report.processIncarnation())
                        .put("seq", report.sequence())
                        .put("heldEpoch", report.heldFencingToken().value())
                        .put("heldSerial", report.heldSerial());
        ArrayNode classes = node.putArray("classes");
        report.classes()
                .forEach(
                        (workloadClass, demand) ->
                                addWorkloadClass(classes.addArray(), workloadClass)
                                        .add(Math.round(demand.perMinute() * 100) / 100.0)
                                        .add(demand.admitted())
                                        .add(demand.refused()));
        return Json.write(node);
    }

    /** Reads a demand report; empty if the message is malformed. */
    static Optional<DemandReport> readReport(JsonNode message) {
        if (!message.path("node").isTextual()
                || !message.path("process").isTextual()
                || !message.path("seq").isIntegralNumber()
                || !message.path("heldEpoch").isIntegralNumber()
                || !message.path("heldSerial").isIntegralNumber()
                || !message.path("classes").isArray()) {
            return Optional.empty();
        }
        SortedMap<WorkloadClass, ClassDemand> classes = new TreeMap<>();
        for (JsonNode entry : message.path("classes")) {
            double perMinute = entry.path(3).asDouble(-1);
            if (!isWorkloadClass(entry) || !(perMinute >= 0 && perMinute <= MAX_PER_MINUTE)) {
                return Optional.empty();
            }
            classes.put(
                    readWorkloadClass(entry),
                    new ClassDemand(perMinute, entry.path(4).asInt(), entry.path(5).asInt()));
        }
        return Optional.of(
                new DemandReport(
                        message.path("node").textValue(),
                        message.path("process").textValue(),
                        message.path("seq").longValue(),
                        new FencingToken(message.path("heldEpoch").longValue()),
                        message.path("heldSerial").longValue(),
                        classes));
    }

    static byte[] write(Allotment allotment) {
        ObjectNode node =
                Json.object()
                        .put("node", allotment.node())
                        .put("epoch", allotment.fencingToken().value())
                        .put("serial", allotment.serial())
                        .put("durationMs", Math.round(allotment.durationS() * 1000))
                        .put("extraPerMinute", allotment.extraPerMinute());
        ArrayNode classes = node.putArray("classes");
        allotment
                .classes()
                .forEach(
                        (workloadClass, share) ->
                                addWorkloadClass(classes.addArray(), workloadClass)
                                        .add(share.perMinute())
                                        .add(share.limited()));
        ArrayNode waits = node.putArray("waits");
        allotment
                .queueWaits()
                .forEach(
                        wait ->
                                waits.addArray()
                                        .add(wait.team())
                                        .add(wait.priority().name())
                                        .add(Math.round(wait.waitS())));
        return Json.write(node);
    }

    /** Reads an allotment; empty if the message is malformed. */
    static Optional<Allotment> readAllotment(JsonNode message) {
        if (!message.path("node").isTextual()
                || !message.path("epoch").isIntegralNumber()
                || !message.path("serial").isIntegralNumber()
                || !message.path("durationMs").isIntegralNumber()
                || !message.path("extraPerMinute").canConvertToInt()
                || message.path("extraPerMinute").intValue() < 0) {
            return Optional.empty();
        }
        SortedMap<WorkloadClass, ClassShare> classes = new TreeMap<>();
        for (JsonNode entry : message.path("classes")) {
            if (!isWorkloadClass(entry) || entry.path(3).asInt(-1) < 0) {
                return Optional.empty();
            }
            classes.put(
                    readWorkloadClass(entry),
                    new ClassShare(entry.path(3).asInt(), entry.path(4).asBoolean()));
        }
        List<QueueWait> waits = new ArrayList<>();
        for (JsonNode entry : message.path("waits")) {
            parsePriority(entry.path(1).asText())
                    .map(
                            priority ->
                                    new QueueWait(
                                            entry.path(0).asText(),
                                            priority,
                                            entry.path(2).asDouble()))
                    .ifPresent(waits::add);
        }
        return Optional.of(
                new Allotment(
                        message.path("node").textValue(),
                        new FencingToken(message.path("epoch").longValue()),
                        message.path("serial").longValue(),
                        message.path("durationMs").longValue() / 1000.0,
                        message.path("extraPerMinute").intValue(),
                        classes,
                        waits));
    }

    private static Optional<JobSpec.Priority> parsePriority(String name) {
        return Arrays.stream(JobSpec.Priority.values())
                .filter(priority -> priority.name().equals(name))
                .findFirst();
    }

    private static ArrayNode addWorkloadClass(ArrayNode entry, WorkloadClass workloadClass) {
        return entry.add(workloadClass.team())
                .add(workloadClass.workload())
                .add(workloadClass.hasDependencies());
    }

    private static boolean isWorkloadClass(JsonNode entry) {
        return entry.path(0).isTextual() && entry.path(1).isTextual() && entry.path(2).isBoolean();
    }

    private static WorkloadClass readWorkloadClass(JsonNode entry) {
        return new WorkloadClass(
                entry.path(0).textValue(), entry.path(1).textValue(), entry.path(2).booleanValue());
    }
}
