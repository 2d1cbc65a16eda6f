package io.pepperfield.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Sender;
import io.pepperfield.loop.Loop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The cloud over its published protocol; the only place that knows its field names. */
public final class HttpCloud implements Cloud {

    private static final double DEADLINE_S = 5;
    private static final int PAGE = 500;

    private final Loop loop;
    private final Sender client;
    private final Settings.Address address;
    private final double spacingS;
    private final ArrayDeque<Runnable> urgent = new ArrayDeque<>();
    private final ArrayDeque<Runnable> patient = new ArrayDeque<>();
    private double nextAt;
    private boolean pumping;

    /** Creates a client that keeps below {@code rps} requests per second. */
    public HttpCloud(Loop loop, Sender client, Settings.Address address, double rps) {
        this.loop = loop;
        this.client = client;
        this.address = address;
        // A fifth below the rate: the clocks drift, and other nodes ask for the types now and then.
        this.spacingS = 1.25 / rps;
    }

    @Override
    public void types(Consumer<List<MachineType>> done) {
        send(
                patient,
                "GET",
                "/machine_types",
                null,
                outcome ->
                        done.accept(
                                outcome instanceof Outcome.Answered answer && answer.status() == 200
                                        ? readTypes(answer.json())
                                        : null));
    }

    private static List<MachineType> readTypes(JsonNode body) {
        if (!body.path("flavours").isArray()) {
            return null;
        }
        List<MachineType> types = new ArrayList<>();
        for (JsonNode n : body.path("flavours")) {
            List<String> zones = new ArrayList<>();
            n.path("sites").forEach(zone -> zones.add(zone.asText()));
            types.add(
                    new MachineType(
                            n.path("label").asText(),
                            n.path("vcpus").asDouble(),
                            n.path("accelerators").asDouble(),
                            n.path("memGb").asDouble(),
                            n.path("localGb").asDouble(),
                            n.path("fetchGbPerS").asDouble(),
                            n.path("hourly").asDouble(),
                            n.path("spotPrice").asDouble(),
                            n.path("readyS").asDouble(),
                            zones));
        }
        return types;
    }

    @Override
    public void rent(
            String request,
            String type,
            String zone,
            boolean spot,
            int count,
            Consumer<Rented> done) {
        byte[] body =
                Json.write(
                        Json.object()
                                .put("hire", request)
                                .put("flavour", type)
                                .put("site", zone)
                                .put("reclaimable", spot)
                                .put("howMany", count));
        send(
                urgent,
                "POST",
                "/rentals",
                body,
                outcome -> {
                    if (!(outcome instanceof Outcome.Answered answer)) {
                        done.accept(new Rented.Failed("no answer"));
                        return;
                    }
                    JsonNode json = answer.json();
                    if (answer.status() == 200 && json.path("hosts").isArray()) {
                        List<String> names = new ArrayList<>();
                        json.path("hosts").forEach(n -> names.add(n.asText()));
                        done.accept(new Rented.Machines(names));
                    } else if (answer.status() == 503
                            && json.path("error").asText().equals("no capacity")) {
                        done.accept(new Rented.NoCapacity());
                    } else {
                        done.accept(new Rented.Failed("status " + answer.status()));
                    }
                });
    }

    @Override
    public void release(List<String> names, Consumer<Boolean> done) {
        ObjectNode body = Json.object();
        ArrayNode hosts = body.putArray("hosts");
        names.forEach(hosts::add);
        send(
                urgent,
                "POST",
                "/rentals/release",
                Json.write(body),
                outcome ->
                        done.accept(
                                outcome instanceof Outcome.Answered answer
                                        && answer.status() == 200));
    }

    @Override
    public void list(Consumer<List<Listed>> done) {
        page("", new ArrayList<>(), done);
    }

    private void page(String after, List<Listed> all, Consumer<List<Listed>> done) {
        String path = "/rentals?limit=" + PAGE + (after.isEmpty() ? "" : "&since=" + after);
        send(
                patient,
                "GET",
                path,
                null,
                outcome -> {
                    if (!(outcome instanceof Outcome.Answered answer)
                            || answer.status() != 200
                            || !answer.json().path("hosts").isArray()) {
                        done.accept(null);
                        return;
                    }
                    JsonNode body = answer.json();
                    for (JsonNode n : body.path("hosts")) {
                        all.add(
                                new Listed(
                                        n.path("nameId").asText(),
                                        n.path("addr").asText(),
                                        n.path("flavour").asText(),
                                        n.path("site").asText(),
                                        n.path("reclaimable").asBoolean(),
                                        n.path("status").asText(),
                                        n.path("ageS").asDouble()));
                    }
                    if (body.path("truncated").asBoolean() && body.path("hosts").size() > 0) {
                        page(all.get(all.size() - 1).name(), all, done);
                    } else {
                        done.accept(all);
                    }
                });
    }

    private void send(
            ArrayDeque<Runnable> queue,
            String method,
            String path,
            byte[] body,
            Consumer<Outcome> done) {
        queue.add(
                () ->
                        client.send(
                                address.host(),
                                address.port(),
                                2,
                                method,
                                path,
                                body,
                                Math.round(DEADLINE_S * 1000),
                                outcome -> loop.post(() -> done.accept(outcome))));
        if (!pumping) {
            pump();
        }
    }

    private void pump() {
        pumping = false;
        while (!urgent.isEmpty() || !patient.isEmpty()) {
            double now = loop.now();
            // A burst of one second's worth is saved up at most; the service allows two.
            nextAt = Math.max(nextAt, now - 1);
            if (nextAt > now) {
                pumping = true;
                loop.after(nextAt - now, this::pump);
                return;
            }
            nextAt += spacingS;
            (urgent.isEmpty() ? patient : urgent).poll().run();
        }
    }
}
