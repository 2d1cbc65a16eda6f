package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/** The cloud by its published protocol: one type of machine, two zones, a lagging list. */
public final class CloudStandIn {

    /** Starts and ends the machines that are rented. */
    public interface Machines {
        void boot(String name, String type, String zone, boolean spot);

        void delete(String name);
    }

    /** A machine that the stand-in has rented out, and since when. */
    private record Rented(String name, String zone, boolean spot, double at) {}

    private final DoubleSupplier clock;
    private final Machines machines;
    private final int capacity;
    private final Map<String, List<String>> requests = new LinkedHashMap<>();
    private final Map<String, Rented> rented = new LinkedHashMap<>();
    private final Map<String, String> askedRentals = new LinkedHashMap<>();

    /**
     * Names that were used for two requests: the cloud would take the second for a repeat of the
     * first.
     */
    public final List<String> reusedRequestIds = new ArrayList<>();

    /** Told of every new request for machines and of every machine given back. */
    Consumer<Decision> onDecision = decision -> {};

    private int next;
    private boolean outage;

    public CloudStandIn(DoubleSupplier clock, int capacity, Machines machines) {
        this.clock = clock;
        this.capacity = capacity;
        this.machines = machines;
    }

    public int rentalCount() {
        return next;
    }

    public void setOutage(boolean begins) {
        outage = begins;
    }

    public HttpReply handle(InboundRequest request) {
        if (outage) {
            return HttpReply.error(503, "trouble");
        }
        JsonNode body = Json.read(request.body());
        switch (request.path()) {
            case "/machine_types" -> {
                ObjectNode types = Json.object();
                ObjectNode type =
                        types.putArray("flavours")
                                .addObject()
                                .put("label", "box")
                                .put("vcpus", 8)
                                .put("accelerators", 0)
                                .put("memGb", 32)
                                .put("localGb", 20)
                                .put("fetchGbPerS", 1)
                                .put("hourly", 1)
                                .put("spotPrice", 0.4)
                                .put("readyS", 5);
                type.putArray("sites").add("east").add("west");
                return HttpReply.json(200, types);
            }
            case "/rentals/release" -> {
                body.path("hosts")
                        .forEach(
                                host -> {
                                    if (rented.remove(host.asText()) != null) {
                                        onDecision.accept(Decision.release(host.asText()));
                                        machines.delete(host.asText());
                                    }
                                });
                return HttpReply.json(200, Json.object());
            }
            case "/rentals" -> {
                return request.method().equals("POST") ? rent(body) : list();
            }
            default -> {
                return HttpReply.empty(400);
            }
        }
    }

    private HttpReply rent(JsonNode body) {
        String request = body.path("hire").asText();
        String wanted = body.toString();
        if (!askedRentals.computeIfAbsent(request, key -> wanted).equals(wanted)) {
            reusedRequestIds.add(request);
        }
        List<String> names = requests.get(request);
        if (names == null) {
            names = new ArrayList<>();
            for (int i = 0; i < body.path("howMany").asInt() && rented.size() < capacity; i++) {
                String name = String.format(Locale.ROOT, "host-%06d", next++);
                rented.put(
                        name,
                        new Rented(
                                name,
                                body.path("site").asText(),
                                body.path("reclaimable").asBoolean(),
                                clock.getAsDouble()));
                machines.boot(
                        name,
                        "box",
                        body.path("site").asText(),
                        body.path("reclaimable").asBoolean());
                names.add(name);
            }
            onDecision.accept(
                    Decision.rental(
                            request,
                            body.path("howMany").asInt(),
                            body.path("flavour").asText(),
                            body.path("site").asText(),
                            body.path("reclaimable").asBoolean(),
                            names));
            if (names.isEmpty()) {
                return HttpReply.error(503, "no capacity");
            }
            requests.put(request, names);
        }
        ObjectNode reply = Json.object();
        ArrayNode hosts = reply.putArray("hosts");
        names.forEach(hosts::add);
        return HttpReply.json(200, reply);
    }

    private HttpReply list() {
        ObjectNode reply = Json.object().put("truncated", false);
        ArrayNode hosts = reply.putArray("hosts");
        for (Rented key : rented.values()) {
            double age = clock.getAsDouble() - key.at;
            if (age > 2) {
                hosts.addObject()
                        .put("nameId", key.name)
                        .put("addr", "")
                        .put("flavour", "box")
                        .put("site", key.zone)
                        .put("reclaimable", key.spot)
                        .put("status", "running")
                        .put("ageS", age);
            }
        }
        return HttpReply.json(200, reply);
    }
}
