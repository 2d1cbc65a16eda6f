package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.HttpWorkerClient;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.forms.GoldenFile;
import io.pepperfield.forms.RecordingSender;
import io.pepperfield.forms.WorkerForms;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.peer.PeerMessages.ForwardedHeartbeat;
import io.pepperfield.peer.PeerMessages.HeartbeatBatch;
import io.pepperfield.peer.PeerMessages.HeartbeatBatchReply;
import io.pepperfield.peer.PeerMessages.LeaderVerdict;
import io.pepperfield.standin.RegionSettings;
import io.pepperfield.standin.SimulatedLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Golden forms of the messages between controllers: heartbeats, orders and cancelled jobs. */
public final class PeerForms implements Peers.Handler {

    private static final FencingToken TOKEN = new FencingToken(41);
    private static final Settings SETTINGS =
            RegionSettings.of(0, 3, new Settings.StoreLimits(150, 60, 8, 32));

    private final GoldenFile file;
    private final SimulatedLoop loop = new SimulatedLoop();
    private final RecordingSender sender;
    private final Peers peers;

    private PeerForms(GoldenFile file) {
        this.file = file;
        sender = new RecordingSender(file);
        peers = new Peers(loop, SETTINGS, sender);
        peers.setHandler(this);
    }

    /** Adds all forms to the file. */
    public static void write(GoldenFile file) {
        byte[] batch = batch();
        file.addWithFieldMutations(
                "batch",
                Json.read(batch),
                form -> PeerMessages.readBatch(form).map(PeerForms::describe).orElse("refused"));
        List<LeaderVerdict> verdicts =
                List.of(
                        new LeaderVerdict.Orders(
                                WorkerProtocol.encodeOrders(WorkerForms.sampleOrders())),
                        new LeaderVerdict.FullHeartbeatRequired(),
                        new LeaderVerdict.Refused());
        file.addRoundTripWithFieldMutations(
                "answer",
                PeerMessages.writeBatchReply(TOKEN, 0.25, List.of("node-0", "node-1"), verdicts),
                PeerForms::rewriteReply);
        file.addRoundTripWithFieldMutations(
                "orders",
                PeerMessages.writeDirectOrders(
                        TOKEN,
                        List.of(
                                new PeerMessages.DirectOrderMessage(
                                        "10.1.0.14:9000",
                                        3,
                                        WorkerProtocol.encodeOrders(WorkerForms.sampleOrders())))),
                form ->
                        toText(
                                PeerMessages.writeDirectOrders(
                                        new FencingToken(form.path("epoch").longValue()),
                                        PeerMessages.readDirectOrders(form))));
        file.addRoundTripWithFieldMutations(
                "cancelled",
                PeerMessages.writeCancelledJobs(List.of("run-000412", "run-000413")),
                form ->
                        toText(
                                PeerMessages.writeCancelledJobs(
                                        PeerMessages.readCancelledJobs(form))));
        PeerForms forms = new PeerForms(file);
        forms.send(batch);
        forms.receive(batch);
    }

    private static byte[] batch() {
        Heartbeat heartbeat =
                WorkerProtocol.parseHeartbeat(Json.read(WorkerForms.heartbeatBody())).orElseThrow();
        HeartbeatBatchBuilder batch = new HeartbeatBatchBuilder("node-0", "a-process", 7, TOKEN);
        batch.addFull(WorkerForms.heartbeatBody());
        batch.addRepeated(heartbeat, heartbeat);
        batch.addDirectOrderReply(WorkerForms.heartbeatBody());
        batch.addCached(WorkerForms.heartbeatBody(), 0.7);
        return batch.encode();
    }

    private static String describe(HeartbeatBatch batch) {
        StringBuilder description =
                new StringBuilder(
                        String.join(
                                " ",
                                batch.sender(),
                                batch.incarnation(),
                                String.valueOf(batch.sequence()),
                                String.valueOf(batch.fencingToken())));
        batch.heartbeats()
                .forEach(heartbeat -> description.append("; ").append(describe(heartbeat)));
        batch.directOrderReplies()
                .forEach(
                        heartbeat ->
                                description.append("; ").append(WorkerForms.describe(heartbeat)));
        batch.cachedHeartbeats()
                .forEach(
                        cached ->
                                description
                                        .append("; of ")
                                        .append(cached.ageS())
                                        .append(" s before ")
                                        .append(WorkerForms.describe(cached.heartbeat())));
        return description.toString();
    }

    private static String describe(ForwardedHeartbeat heartbeat) {
        if (heartbeat instanceof ForwardedHeartbeat.Full full) {
            return WorkerForms.describe(full.heartbeat());
        }
        ForwardedHeartbeat.Repeated repeated = (ForwardedHeartbeat.Repeated) heartbeat;
        return repeated.machine()
                + " "
                + repeated.incarnation()
                + " repeats "
                + repeated.baseSequence()
                + " as "
                + repeated.sequence()
                + " with "
                + repeated.fencingToken();
    }

    private static String rewriteReply(JsonNode form) {
        return PeerMessages.readBatchReply(form, 3).map(PeerForms::toText).orElse(null);
    }

    private static String toText(HeartbeatBatchReply reply) {
        return toText(
                PeerMessages.writeBatchReply(
                        reply.fencingToken(),
                        reply.storeContactAgeS(),
                        reply.partitionOwners(),
                        reply.verdicts()));
    }

    private static String toText(byte[] form) {
        return new String(form, StandardCharsets.UTF_8);
    }

    private void send(byte[] batch) {
        sender.respondWith(200, "{\"contactAgoMs\":6000,\"epoch\":41}");
        loop.run(10);
        peers.tick(10, 5, TOKEN);
        loop.run(10);
        file.add(
                "state service lost",
                peers.storeContact(10) == Peers.StoreContact.ISOLATED ? "here" : "by all");
        peers.broadcastCancelledJobs(List.of("run-000412"));
        peers.send(SETTINGS.members().get(0), "/peer/path", batch, 1.5, outcome -> {});
        PartitionOrderRouter orders =
                new PartitionOrderRouter(new HttpWorkerClient(loop, sender, 1), peers, SETTINGS);
        for (String controller : List.of("node-1", "node-2", "")) {
            orders.sendOrders(
                    controller,
                    "10.1.0.14:9000",
                    TOKEN,
                    3,
                    WorkerForms.sampleOrders(),
                    result -> {});
        }
        orders.flush();
        HeartbeatForwarder forwarder =
                new HeartbeatForwarder(
                        loop,
                        (request, onOutcome) ->
                                file.add(
                                        "batch to the leader",
                                        request.method()
                                                + " "
                                                + request.path()
                                                + " "
                                                + withoutIncarnation(request.body())),
                        SETTINGS);
        forwarder.setLeader("node-1");
        byte[] encoded = WorkerForms.heartbeatBody();
        forwarder.submit(
                WorkerProtocol.parseHeartbeat(Json.read(encoded)).orElseThrow(),
                encoded,
                verdict -> {});
        forwarder.flush();
    }

    /** Replaces the incarnation, which each process generates at random. */
    private static String withoutIncarnation(byte[] body) {
        return toText(body).replaceAll("\"life\":\"[^\"]*\"", "\"life\":\"...\"");
    }

    private void receive(byte[] batch) {
        receive("GET", "/peer/contact", new byte[0]);
        receive("POST", "/peer/contact", new byte[0]);
        receive("POST", "/peer/relay", batch);
        receive("POST", "/peer/relay", "{}".getBytes(StandardCharsets.UTF_8));
        receive("POST", "/peer/orders", GoldenFile.readInput("peer-orders.json"));
        receive("POST", "/peer/cancelled", GoldenFile.readInput("peer-cancelled.json"));
        receive("POST", "/peer/unknown", new byte[0]);
        receive("GET", "/peer/relay", new byte[0]);
        peers.addEndpoint("/peer/path", (call, reply) -> reply.accept(HttpReply.empty(200)));
        receive("POST", "/peer/path", new byte[0]);
        receive("GET", "/peer/path", new byte[0]);
    }

    private void receive(String method, String path, byte[] body) {
        peers.handle(
                new InboundRequest(method, path, Map.of(), body),
                reply -> file.add(method + " " + path + " answered", reply));
    }

    @Override
    public void heartbeatBatchReceived(HeartbeatBatch batch, Consumer<HttpReply> reply) {
        file.add("received", describe(batch));
        reply.accept(HttpReply.empty(200));
    }

    @Override
    public void directOrdersReceived(FencingToken token, PeerMessages.DirectOrderMessage message) {
        file.add(
                "received orders of " + token,
                message.address() + " " + message.incarnation() + " " + message.orders());
    }

    @Override
    public void jobsCancelled(List<String> ids) {
        file.add("received as cancelled", ids.toString());
    }
}
