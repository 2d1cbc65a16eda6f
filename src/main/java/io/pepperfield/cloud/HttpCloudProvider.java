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
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Client of the cloud provider's HTTP API; the only class that contains the API's field names.
 * Confined to the event loop thread, on which the callbacks run too.
 */
public final class HttpCloudProvider implements CloudProvider {

    private static final double TIMEOUT_S = 5;
    private static final int PAGE_SIZE = 500;
    private static final int MAX_CONNECTIONS = 2;
    private static final int STATUS_OK = 200;
    private static final int STATUS_UNAVAILABLE = 503;
    private static final String NO_CAPACITY = "no capacity";

    private static final String MACHINE_TYPE = "flavour";
    private static final String ZONE = "site";
    private static final String SPOT = "reclaimable";
    private static final String INSTANCES = "hosts";

    private final Loop loop;
    private final HttpSender client;
    private final Settings.Address address;
    private final PacedRequestQueue queue;

    /** Creates a client that sends fewer than {@code requestsPerSecond} requests per second. */
    public HttpCloudProvider(
            Loop loop, HttpSender client, Settings.Address address, double requestsPerSecond) {
        this.loop = loop;
        this.client = client;
        this.address = address;
        this.queue = new PacedRequestQueue(loop, requestsPerSecond);
    }

    @Override
    public void listMachineTypes(Consumer<Optional<List<MachineType>>> done) {
        queue.addBackground(
                () ->
                        send(
                                "GET",
                                "/machine_types",
                                null,
                                outcome ->
                                        done.accept(
                                                okBody(outcome)
                                                        .flatMap(
                                                                HttpCloudProvider
                                                                        ::parseMachineTypes))));
    }

    /** Returns the body of a reply with status 200, or empty for any other outcome. */
    private static Optional<JsonNode> okBody(HttpOutcome outcome) {
        return outcome instanceof HttpOutcome.Answered reply && reply.status() == STATUS_OK
                ? Optional.of(reply.json())
                : Optional.empty();
    }

    private static Optional<List<MachineType>> parseMachineTypes(JsonNode body) {
        if (!body.path("flavours").isArray()) {
            return Optional.empty();
        }
        List<MachineType> types = new ArrayList<>();
        body.path("flavours").forEach(item -> types.add(parseMachineType(item)));
        return Optional.of(types);
    }

    private static MachineType parseMachineType(JsonNode item) {
        List<String> zones = new ArrayList<>();
        item.path("sites").forEach(zone -> zones.add(zone.asText()));
        return new MachineType(
                item.path("label").asText(),
                item.path("vcpus").asDouble(),
                item.path("accelerators").asDouble(),
                item.path("memGb").asDouble(),
                item.path("localGb").asDouble(),
                item.path("fetchGbPerS").asDouble(),
                item.path("hourly").asDouble(),
                item.path("spotPrice").asDouble(),
                item.path("readyS").asDouble(),
                zones);
    }

    @Override
    public void rentInstances(
            String requestId,
            String machineType,
            String zone,
            boolean spot,
            int count,
            Consumer<RentalOutcome> done) {
        byte[] body =
                Json.write(
                        Json.object()
                                .put("hire", requestId)
                                .put(MACHINE_TYPE, machineType)
                                .put(ZONE, zone)
                                .put(SPOT, spot)
                                .put("howMany", count));
        queue.addUrgent(
                () ->
                        send(
                                "POST",
                                "/rentals",
                                body,
                                outcome -> done.accept(rentalOutcome(outcome))));
    }

    private static RentalOutcome rentalOutcome(HttpOutcome outcome) {
        if (!(outcome instanceof HttpOutcome.Answered reply)) {
            return new RentalOutcome.Failed("no answer");
        }
        JsonNode body = reply.json();
        if (reply.status() == STATUS_OK && body.path(INSTANCES).isArray()) {
            List<String> names = new ArrayList<>();
            body.path(INSTANCES).forEach(name -> names.add(name.asText()));
            return new RentalOutcome.Granted(names);
        }
        if (reply.status() == STATUS_UNAVAILABLE
                && body.path("error").asText().equals(NO_CAPACITY)) {
            return new RentalOutcome.NoCapacity();
        }
        return new RentalOutcome.Failed("status " + reply.status());
    }

    @Override
    public void releaseInstances(List<String> names, Consumer<Boolean> done) {
        ObjectNode body = Json.object();
        ArrayNode instances = body.putArray(INSTANCES);
        names.forEach(instances::add);
        byte[] encoded = Json.write(body);
        queue.addUrgent(
                () ->
                        send(
                                "POST",
                                "/rentals/release",
                                encoded,
                                outcome ->
                                        done.accept(
                                                outcome instanceof HttpOutcome.Answered reply
                                                        && reply.status() == STATUS_OK)));
    }

    @Override
    public void listInstances(Consumer<Optional<List<ListedInstance>>> done) {
        requestPage("", new ArrayList<>(), done);
    }

    private void requestPage(
            String after,
            List<ListedInstance> listed,
            Consumer<Optional<List<ListedInstance>>> done) {
        String path = "/rentals?limit=" + PAGE_SIZE + (after.isEmpty() ? "" : "&since=" + after);
        queue.addBackground(
                () -> send("GET", path, null, outcome -> handlePage(outcome, listed, done)));
    }

    private void handlePage(
            HttpOutcome outcome,
            List<ListedInstance> listed,
            Consumer<Optional<List<ListedInstance>>> done) {
        Optional<JsonNode> page = okBody(outcome).filter(body -> body.path(INSTANCES).isArray());
        if (page.isEmpty()) {
            done.accept(Optional.empty());
            return;
        }
        JsonNode instances = page.get().path(INSTANCES);
        instances.forEach(item -> listed.add(parseInstance(item)));
        if (page.get().path("truncated").asBoolean() && instances.size() > 0) {
            requestPage(listed.get(listed.size() - 1).name(), listed, done);
        } else {
            done.accept(Optional.of(listed));
        }
    }

    private static ListedInstance parseInstance(JsonNode item) {
        return new ListedInstance(
                item.path("nameId").asText(),
                item.path("addr").asText(),
                item.path(MACHINE_TYPE).asText(),
                item.path(ZONE).asText(),
                item.path(SPOT).asBoolean(),
                item.path("status").asText(),
                item.path("ageS").asDouble());
    }

    private void send(String method, String path, byte[] body, Consumer<HttpOutcome> done) {
        client.send(
                new OutboundRequest(
                        address.host(),
                        address.port(),
                        MAX_CONNECTIONS,
                        method,
                        path,
                        body,
                        Math.round(TIMEOUT_S * 1000)),
                outcome -> loop.post(() -> done.accept(outcome)));
    }
}
