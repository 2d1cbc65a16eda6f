package io.pepperfield.forms;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.cloud.CloudProvider.ListedInstance;
import io.pepperfield.cloud.CloudProvider.RentalOutcome;
import io.pepperfield.cloud.HttpCloudProvider;
import io.pepperfield.cloud.MachineTypesCodec;
import io.pepperfield.config.Settings.Address;
import io.pepperfield.http.Json;
import io.pepperfield.standin.SimulatedLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Requests to the cloud API and the decoded replies. */
final class CloudForms {

    private final GoldenFile file;
    private final SimulatedLoop loop = new SimulatedLoop();
    private final RecordingSender sender;
    private final HttpCloudProvider cloud;

    private CloudForms(GoldenFile file) {
        this.file = file;
        sender = new RecordingSender(file);
        cloud = new HttpCloudProvider(loop, sender, new Address("10.2.0.2", 8443), 2);
    }

    static void write(GoldenFile file) {
        CloudForms forms = new CloudForms(file);
        file.addWithFieldMutations(
                "machine types",
                GoldenFile.readJsonInput("machine-types.json"),
                forms::decodeMachineTypes);
        file.addWithFieldMutations(
                "machines", GoldenFile.readJsonInput("machines.json"), forms::decodeInstances);
        forms.writeRentals();
        forms.writeReleases();
    }

    private String decodeMachineTypes(JsonNode reply) {
        sender.respondWith(200, Json.write(reply));
        StringBuilder description = new StringBuilder();
        cloud.listMachineTypes(
                types ->
                        description.append(
                                types.isPresent()
                                        ? MachineTypesCodec.encode(types.get())
                                        : "refused"));
        loop.run(loop.now() + 10);
        return description.toString();
    }

    /** Decodes a list of instances; the second page of the list is empty. */
    private String decodeInstances(JsonNode reply) {
        sender.respondWith(200, Json.write(reply));
        StringBuilder description = new StringBuilder();
        cloud.listInstances(
                instances ->
                        description.append(instances.map(CloudForms::describe).orElse("refused")));
        loop.run(loop.now() + 0.1);
        sender.respondWith(200, "{\"hosts\":[],\"truncated\":false}");
        loop.run(loop.now() + 10);
        return description.toString();
    }

    private static String describe(List<ListedInstance> instances) {
        return String.join(
                ", ",
                instances.stream()
                        .map(
                                instance ->
                                        String.join(
                                                " ",
                                                instance.name(),
                                                instance.address(),
                                                instance.type(),
                                                instance.zone(),
                                                instance.spot() ? "spot" : "ordinary",
                                                instance.status(),
                                                String.valueOf(instance.ageS())))
                        .toList());
    }

    private void writeRentals() {
        writeRentals(200, "{\"hosts\":[\"host-000012\",\"host-000013\"]}");
        writeRentals(200, "{\"names\":[]}");
        writeRentals(503, "{\"error\":\"no capacity\"}");
        writeRentals(503, "{\"error\":\"busy\"}");
    }

    private void writeRentals(int status, String reply) {
        sender.respondWith(status, reply.getBytes(StandardCharsets.UTF_8));
        cloud.rentInstances(
                "p41-1",
                "lekker-big",
                "west",
                true,
                2,
                outcome -> file.add("answered " + status + " " + reply, describe(outcome)));
        loop.run(loop.now() + 10);
    }

    private static String describe(RentalOutcome outcome) {
        if (outcome instanceof RentalOutcome.Granted granted) {
            return "rented " + granted.instanceNames();
        }
        return outcome instanceof RentalOutcome.Failed failed
                ? "failed: " + failed.reason()
                : "no capacity";
    }

    private void writeReleases() {
        for (int status : new int[] {200, 503}) {
            sender.respondWith(status, "{}");
            cloud.releaseInstances(
                    List.of("host-000012", "host-000013"),
                    released -> file.add("answered " + status, released ? "gone" : "not known"));
            loop.run(loop.now() + 10);
        }
    }
}
