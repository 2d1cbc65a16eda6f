package io.pepperfield.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.Json;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.loop.Loop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The cloud over its published protocol; the only place that knows its field names. */
public final class HttpCloudProvider implements CloudProvider {

    private static final double TIMEOUT_S = 5;
    private static final int PAGE_SIZE = 500;

    private final Loop loop;
    private final HttpSender client;
    private final Settings.Address address;
    private final double requestSpacingS;
    private final ArrayDeque<Runnable> urgentRequests = new ArrayDeque<>();
    private final ArrayDeque<Runnable> backgroundRequests = new ArrayDeque<>();
    private double nextRequestAt;
    private boolean sendScheduled;

    /** Creates a client that keeps below {@code rps} requests per second. */
    public HttpCloudProvider(Loop loop, HttpSender client, Settings.Address address, double rps) {
        this.loop = loop;
        this.client = client;
        this.address = address;
        // A fifth below the rate: the clocks drift, and other nodes ask for the types now and then.
        this.requestSpacingS = 1.25 / rps;
    }

    @Override
    public void listMachineTypes(Consumer<List<MachineType>> done) {
        enqueue(
                backgroundRequests,
                "GET",
                "/machine_types",
                null,
                outcome ->
                        done.accept(
                                outcome instanceof HttpOutcome.Answered answer
                                                && answer.status() == 200
                                        ? parseMachineTypes(answer.json())
                                        : null));
    }

    private static List<MachineType> parseMachineTypes(JsonNode body) {
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
    public void rentInstances(
            String request,
            String type,
            String zone,
            boolean spot,
            int count,
            Consumer<RentalOutcome> done) {
        byte[] body =
                Json.write(
                        Json.object()
                                .put("hire", request)
                                .put("flavour", type)
                                .put("site", zone)
                                .put("reclaimable", spot)
                                .put("howMany", count));
        enqueue(
                urgentRequests,
                "POST",
                "/rentals",
                body,
                outcome -> {
                    if (!(outcome instanceof HttpOutcome.Answered answer)) {
                        done.accept(new RentalOutcome.Failed("no answer"));
                        return;
                    }
                    JsonNode json = answer.json();
                    if (answer.status() == 200 && json.path("hosts").isArray()) {
                        List<String> names = new ArrayList<>();
                        json.path("hosts").forEach(n -> names.add(n.asText()));
                        done.accept(new RentalOutcome.Granted(names));
                    } else if (answer.status() == 503
                            && json.path("error").asText().equals("no capacity")) {
                        done.accept(new RentalOutcome.NoCapacity());
                    } else {
                        done.accept(new RentalOutcome.Failed("status " + answer.status()));
                    }
                });
    }

    @Override
    public void releaseInstances(List<String> names, Consumer<Boolean> done) {
        ObjectNode body = Json.object();
        ArrayNode hosts = body.putArray("hosts");
        names.forEach(hosts::add);
        enqueue(
                urgentRequests,
                "POST",
                "/rentals/release",
                Json.write(body),
                outcome ->
                        done.accept(
                                outcome instanceof HttpOutcome.Answered answer
                                        && answer.status() == 200));
    }

    @Override
    public void listInstances(Consumer<List<ListedInstance>> done) {
        listPage("", new ArrayList<>(), done);
    }

    private void listPage(
            String after, List<ListedInstance> all, Consumer<List<ListedInstance>> done) {
        String path = "/rentals?limit=" + PAGE_SIZE + (after.isEmpty() ? "" : "&since=" + after);
        enqueue(
                backgroundRequests,
                "GET",
                path,
                null,
                outcome -> {
                    if (!(outcome instanceof HttpOutcome.Answered answer)
                            || answer.status() != 200
                            || !answer.json().path("hosts").isArray()) {
                        done.accept(null);
                        return;
                    }
                    JsonNode body = answer.json();
                    for (JsonNode n : body.path("hosts")) {
                        all.add(
                                new ListedInstance(
                                        n.path("nameId").asText(),
                                        n.path("addr").asText(),
                                        n.path("flavour").asText(),
                                        n.path("site").asText(),
                                        n.path("reclaimable").asBoolean(),
                                        n.path("status").asText(),
                                        n.path("ageS").asDouble()));
                    }
                    if (body.path("truncated").asBoolean() && body.path("hosts").size() > 0) {
                        listPage(all.get(all.size() - 1).name(), all, done);
                    } else {
                        done.accept(all);
                    }
                });
    }

    private void enqueue(
            ArrayDeque<Runnable> queue,
            String method,
            String path,
            byte[] body,
            Consumer<HttpOutcome> done) {
        queue.add(
                () ->
                        client.send(
                                new OutboundRequest(
                                        address.host(),
                                        address.port(),
                                        2,
                                        method,
                                        path,
                                        body,
                                        Math.round(TIMEOUT_S * 1000)),
                                outcome -> loop.post(() -> done.accept(outcome))));
        if (!sendScheduled) {
            sendQueued();
        }
    }

    private void sendQueued() {
        sendScheduled = false;
        while (!urgentRequests.isEmpty() || !backgroundRequests.isEmpty()) {
            double now = loop.now();
            // A burst of one second's worth is saved up at most; the service allows two.
            nextRequestAt = Math.max(nextRequestAt, now - 1);
            if (nextRequestAt > now) {
                sendScheduled = true;
                loop.after(nextRequestAt - now, this::sendQueued);
                return;
            }
            nextRequestAt += requestSpacingS;
            (urgentRequests.isEmpty() ? backgroundRequests : urgentRequests).poll().run();
        }
    }
}
