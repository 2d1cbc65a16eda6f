package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import io.pepperfield.fleet.Report;
import io.pepperfield.http.Json;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * What partition owners and the leader tell each other; the only place that knows its field names.
 */
public final class ForwardingMessages {

    /** One report as a partition owner passes it on. */
    public sealed interface Beat {
        /** The name of the machine that reports. */
        String machine();

        /** The report in full. */
        record Whole(Report report) implements Beat {
            @Override
            public String machine() {
                return report.machine();
            }
        }

        /** Differs from the one of serial {@code base} only in its serial and token. */
        record Same(String machine, long tenure, long base, long serial, long token)
                implements Beat {}
    }

    /** A report that its partition owner remembers from before the leader was elected. */
    public record Kept(Report report, double ageS) {}

    /** One message of a partition owner to the leader; {@code life} names the owner's process. */
    public record Batch(
            String node,
            String life,
            long sequence,
            long token,
            List<Beat> beats,
            List<Report> heard,
            List<Kept> kept) {}

    /** The leader's answer to one report. */
    public sealed interface Verdict {
        /** To be answered with these orders. */
        record Orders(JsonNode orders) implements Verdict {}

        /** A late copy, or of a machine that was returned. */
        record Refused() implements Verdict {}

        /** The leader lacks the report that a short one repeats. */
        record WantsWhole() implements Verdict {}
    }

    /** The leader's answer to a batch, with one verdict for each of its reports. */
    public record Answer(
            long token, double contactAgoS, Set<String> live, List<Verdict> verdicts) {}

    /** Orders that a partition owner is to hand to a worker at once. */
    public record Direct(String address, long tenure, JsonNode orders) {}

    private ForwardingMessages() {}

    /**
     * A worker's report as part of a message; one in another encoding than UTF-8 would spoil the
     * others beside it.
     */
    static RawValue raw(byte[] report) {
        boolean plain = report.length > 1 && report[0] > 0 && report[1] > 0;
        return new RawValue(
                new String(plain ? report : Json.write(Json.read(report)), StandardCharsets.UTF_8));
    }

    /** Null where the message is not one of this version's: it is refused whole. */
    public static Batch batch(JsonNode message) {
        if (!message.path("node").isTextual()
                || !message.path("life").isTextual()
                || !message.path("seq").isIntegralNumber()
                || !message.path("epoch").isIntegralNumber()
                || !message.path("beats").isArray()) {
            return null;
        }
        List<Beat> beats = new ArrayList<>();
        for (JsonNode beat : message.path("beats")) {
            if (beat.isArray() && beat.size() == 5) {
                beats.add(
                        new Beat.Same(
                                beat.path(0).asText(),
                                beat.path(1).asLong(),
                                beat.path(2).asLong(),
                                beat.path(3).asLong(),
                                beat.path(4).asLong()));
            } else {
                Report report = Report.read(beat);
                if (report == null) {
                    return null;
                }
                beats.add(new Beat.Whole(report));
            }
        }
        List<Report> heard = new ArrayList<>();
        for (JsonNode report : message.path("heard")) {
            Report read = Report.read(report);
            if (read != null) {
                heard.add(read);
            }
        }
        List<Kept> kept = new ArrayList<>();
        for (JsonNode item : message.path("kept")) {
            Report read = Report.read(item.path("report"));
            if (read != null) {
                kept.add(new Kept(read, Math.max(0, item.path("ageMs").asLong() / 1000.0)));
            }
        }
        return new Batch(
                message.path("node").textValue(),
                message.path("life").textValue(),
                message.path("seq").longValue(),
                message.path("epoch").longValue(),
                beats,
                heard,
                kept);
    }

    /** Encodes the answer to a batch. */
    public static byte[] answer(
            long token, double contactAgoS, Collection<String> live, List<Verdict> verdicts) {
        ObjectNode node =
                Json.object()
                        .put("epoch", token)
                        .put("contactAgoMs", Math.round(contactAgoS * 1000));
        ArrayNode names = node.putArray("live");
        live.forEach(names::add);
        ArrayNode answers = node.putArray("answers");
        for (Verdict verdict : verdicts) {
            if (verdict instanceof Verdict.Orders orders) {
                answers.add(orders.orders());
            } else {
                answers.add(verdict instanceof Verdict.WantsWhole ? "whole" : "refused");
            }
        }
        return Json.write(node);
    }

    /** Null where the message is not an answer to that many reports. */
    static Answer readAnswer(JsonNode message, int beats) {
        if (!message.path("epoch").isIntegralNumber()
                || !message.path("contactAgoMs").isNumber()
                || message.path("answers").size() != beats) {
            return null;
        }
        Set<String> live = new TreeSet<>();
        message.path("live").forEach(name -> live.add(name.asText()));
        List<Verdict> verdicts = new ArrayList<>();
        for (JsonNode answer : message.path("answers")) {
            verdicts.add(
                    answer.isArray()
                            ? new Verdict.Orders(answer)
                            : answer.asText().equals("whole")
                                    ? new Verdict.WantsWhole()
                                    : new Verdict.Refused());
        }
        return new Answer(
                message.path("epoch").longValue(),
                message.path("contactAgoMs").doubleValue() / 1000,
                live,
                verdicts);
    }

    static byte[] cancelled(List<String> ids) {
        ObjectNode node = Json.object();
        ArrayNode all = node.putArray("jobs");
        ids.forEach(all::add);
        return Json.write(node);
    }

    static List<String> readCancelled(JsonNode message) {
        List<String> ids = new ArrayList<>();
        message.path("jobs").forEach(id -> ids.add(id.asText()));
        return ids;
    }

    static byte[] direct(long token, List<Direct> messages) {
        ObjectNode node = Json.object().put("epoch", token);
        ArrayNode all = node.putArray("messages");
        messages.forEach(
                m ->
                        all.addObject()
                                .put("addr", m.address())
                                .put("tenure", m.tenure())
                                .set("orders", m.orders()));
        return Json.write(node);
    }

    static List<Direct> readDirect(JsonNode message) {
        List<Direct> messages = new ArrayList<>();
        for (JsonNode direct : message.path("messages")) {
            messages.add(
                    new Direct(
                            direct.path("addr").asText(),
                            direct.path("tenure").longValue(),
                            direct.path("orders")));
        }
        return messages;
    }
}
