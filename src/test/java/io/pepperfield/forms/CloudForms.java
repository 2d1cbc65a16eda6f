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

/** What is asked of the cloud, and what is read of its answers. */
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
                "machine types", GoldenFile.readJsonInput("machine-types.json"), forms::types);
        file.addWithFieldMutations(
                "machines", GoldenFile.readJsonInput("machines.json"), forms::list);
        forms.rent();
        forms.release();
    }

    private String types(JsonNode answer) {
        sender.respondWith(200, Json.write(answer));
        StringBuilder read = new StringBuilder();
        cloud.listMachineTypes(
                types ->
                        read.append(
                                types.isPresent()
                                        ? MachineTypesCodec.encode(types.get())
                                        : "refused"));
        loop.run(loop.now() + 10);
        return read.toString();
    }

    /** The second page is empty. */
    private String list(JsonNode answer) {
        sender.respondWith(200, Json.write(answer));
        StringBuilder read = new StringBuilder();
        cloud.listInstances(
                machines -> read.append(machines.map(CloudForms::told).orElse("refused")));
        loop.run(loop.now() + 0.1);
        sender.respondWith(200, "{\"hosts\":[],\"truncated\":false}");
        loop.run(loop.now() + 10);
        return read.toString();
    }

    private static String told(List<ListedInstance> machines) {
        return String.join(
                ", ",
                machines.stream()
                        .map(
                                m ->
                                        String.join(
                                                " ",
                                                m.name(),
                                                m.address(),
                                                m.type(),
                                                m.zone(),
                                                m.spot() ? "spot" : "ordinary",
                                                m.status(),
                                                String.valueOf(m.ageS())))
                        .toList());
    }

    private void rent() {
        rent(200, "{\"hosts\":[\"host-000012\",\"host-000013\"]}");
        rent(200, "{\"names\":[]}");
        rent(503, "{\"error\":\"no capacity\"}");
        rent(503, "{\"error\":\"busy\"}");
    }

    private void rent(int status, String answer) {
        sender.respondWith(status, answer.getBytes(StandardCharsets.UTF_8));
        cloud.rentInstances(
                "p41-1",
                "lekker-big",
                "west",
                true,
                2,
                result -> file.add("answered " + status + " " + answer, told(result)));
        loop.run(loop.now() + 10);
    }

    private static String told(RentalOutcome result) {
        if (result instanceof RentalOutcome.Granted machines) {
            return "rented " + machines.instanceNames();
        }
        return result instanceof RentalOutcome.Failed failed
                ? "failed: " + failed.reason()
                : "no capacity";
    }

    private void release() {
        for (int status : new int[] {200, 503}) {
            sender.respondWith(status, "{}");
            cloud.releaseInstances(
                    List.of("host-000012", "host-000013"),
                    gone -> file.add("answered " + status, gone ? "gone" : "not known"));
            loop.run(loop.now() + 10);
        }
    }
}
