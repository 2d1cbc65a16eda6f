package io.pepperfield.peer;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.HttpWorkers;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.Report;
import io.pepperfield.forms.FormFile;
import io.pepperfield.forms.RecordingSender;
import io.pepperfield.forms.WorkerForms;
import io.pepperfield.http.Call;
import io.pepperfield.http.Json;
import io.pepperfield.http.Reply;
import io.pepperfield.peer.ForwardingMessages.Answer;
import io.pepperfield.peer.ForwardingMessages.Batch;
import io.pepperfield.peer.ForwardingMessages.Beat;
import io.pepperfield.peer.ForwardingMessages.Verdict;
import io.pepperfield.standin.RegionSettings;
import io.pepperfield.standin.SimulatedLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** What controllers say to each other about reports, orders and cancelled jobs. */
public final class PeerForms implements Peers.Handler {

    private static final long TOKEN = 41;
    private static final Settings SETTINGS =
            RegionSettings.of(0, 3, new Settings.State(150, 60, 8, 32));

    private final FormFile file;
    private final SimulatedLoop loop = new SimulatedLoop();
    private final RecordingSender sender;
    private final Peers peers;

    private PeerForms(FormFile file) {
        this.file = file;
        sender = new RecordingSender(file);
        peers = new Peers(loop, SETTINGS, sender);
        peers.handler(this);
    }

    /** Adds them. */
    public static void write(FormFile file) {
        byte[] batch = batch();
        file.addRead("batch", Json.read(batch), form -> told(ForwardingMessages.batch(form)));
        List<Verdict> verdicts =
                List.of(
                        new Verdict.Orders(Order.reply(TOKEN, WorkerForms.orders()).path("orders")),
                        new Verdict.WantsWhole(),
                        new Verdict.Refused());
        file.addRewrittenByField(
                "answer",
                ForwardingMessages.answer(TOKEN, 0.25, List.of("node-0", "node-1"), verdicts),
                PeerForms::rewriteAnswer);
        file.addRewrittenByField(
                "orders",
                ForwardingMessages.direct(
                        TOKEN,
                        List.of(
                                new ForwardingMessages.Direct(
                                        "10.1.0.14:9000",
                                        3,
                                        Order.reply(TOKEN, WorkerForms.orders()).path("orders")))),
                form ->
                        text(
                                ForwardingMessages.direct(
                                        form.path("epoch").longValue(),
                                        ForwardingMessages.readDirect(form))));
        file.addRewrittenByField(
                "cancelled",
                ForwardingMessages.cancelled(List.of("run-000412", "run-000413")),
                form -> text(ForwardingMessages.cancelled(ForwardingMessages.readCancelled(form))));
        PeerForms forms = new PeerForms(file);
        forms.send(batch);
        forms.receive(batch);
    }

    private static byte[] batch() {
        Report report = Report.read(Json.read(WorkerForms.report()));
        ForwardedBatch batch = new ForwardedBatch("node-0", "a-process", 7, TOKEN);
        batch.addReport(WorkerForms.report());
        batch.addRepeated(report, report);
        batch.addAnswer(WorkerForms.report());
        batch.addRemembered(WorkerForms.report(), 0.7);
        return batch.write();
    }

    private static String told(Batch batch) {
        if (batch == null) {
            return "refused";
        }
        StringBuilder told =
                new StringBuilder(
                        String.join(
                                " ",
                                batch.node(),
                                batch.life(),
                                String.valueOf(batch.sequence()),
                                String.valueOf(batch.token())));
        batch.beats().forEach(beat -> told.append("; ").append(told(beat)));
        batch.heard().forEach(report -> told.append("; ").append(WorkerForms.read(report)));
        batch.kept()
                .forEach(
                        kept ->
                                told.append("; of ")
                                        .append(kept.ageS())
                                        .append(" s before ")
                                        .append(WorkerForms.read(kept.report())));
        return told.toString();
    }

    private static String told(Beat beat) {
        if (beat instanceof Beat.Whole whole) {
            return WorkerForms.read(whole.report());
        }
        Beat.Same same = (Beat.Same) beat;
        return same.machine()
                + " "
                + same.tenure()
                + " repeats "
                + same.base()
                + " as "
                + same.serial()
                + " with "
                + same.token();
    }

    private static String rewriteAnswer(JsonNode form) {
        Answer answer = ForwardingMessages.readAnswer(form, 3);
        return answer == null
                ? null
                : text(
                        ForwardingMessages.answer(
                                answer.token(),
                                answer.contactAgoS(),
                                answer.live(),
                                answer.verdicts()));
    }

    private static String text(byte[] form) {
        return new String(form, StandardCharsets.UTF_8);
    }

    private void send(byte[] batch) {
        sender.answer(200, "{\"contactAgoMs\":250,\"epoch\":41}");
        loop.run(10);
        peers.tick(10, 5, TOKEN);
        peers.cancelled(List.of("run-000412"));
        peers.ask(SETTINGS.members().get(0), "/peer/path", batch, 1.5, outcome -> {});
        PartitionOrders orders =
                new PartitionOrders(new HttpWorkers(loop, sender, 1), peers, SETTINGS);
        for (String through : List.of("node-1", "node-2", "")) {
            orders.orders(through, "10.1.0.14:9000", TOKEN, 3, WorkerForms.orders(), result -> {});
        }
        orders.flush();
        ReportForwarder forwarder =
                new ReportForwarder(
                        loop,
                        (host, port, connections, method, path, body, deadlineMs, done) ->
                                file.add(
                                        "batch to the leader",
                                        method + " " + path + " " + withoutProcess(body)),
                        SETTINGS);
        forwarder.leader("node-1");
        byte[] report = WorkerForms.report();
        forwarder.submit(Report.read(Json.read(report)), report, verdict -> {});
        forwarder.flush();
    }

    /** Each process draws its own name. */
    private static String withoutProcess(byte[] body) {
        return text(body).replaceAll("\"life\":\"[^\"]*\"", "\"life\":\"...\"");
    }

    private void receive(byte[] batch) {
        receive("GET", "/peer/contact", new byte[0]);
        receive("POST", "/peer/contact", new byte[0]);
        receive("POST", "/peer/relay", batch);
        receive("POST", "/peer/relay", "{}".getBytes(StandardCharsets.UTF_8));
        receive("POST", "/peer/orders", FormFile.input("peer-orders.json"));
        receive("POST", "/peer/cancelled", FormFile.input("peer-cancelled.json"));
        receive("POST", "/peer/unknown", new byte[0]);
        receive("GET", "/peer/relay", new byte[0]);
        peers.serve("/peer/path", (call, answer) -> answer.accept(Reply.empty(200)));
        receive("POST", "/peer/path", new byte[0]);
        receive("GET", "/peer/path", new byte[0]);
    }

    private void receive(String method, String path, byte[] body) {
        peers.handle(
                new Call(method, path, Map.of(), body),
                reply -> file.add(method + " " + path + " answered", reply));
    }

    @Override
    public void forwarded(Batch batch, Consumer<Reply> answer) {
        file.add("received", told(batch));
        answer.accept(Reply.empty(200));
    }

    @Override
    public void direct(long token, ForwardingMessages.Direct message) {
        file.add(
                "received orders of " + token,
                message.address() + " " + message.tenure() + " " + message.orders());
    }

    @Override
    public void cancelled(List<String> ids) {
        file.add("received as cancelled", ids.toString());
    }
}
