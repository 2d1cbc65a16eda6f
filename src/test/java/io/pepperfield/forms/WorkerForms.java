package io.pepperfield.forms;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.HttpWorkerClient;
import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.TaskRef;
import io.pepperfield.fleet.WorkerClient;
import io.pepperfield.fleet.WorkerProtocol;
import io.pepperfield.standin.SimulatedLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** What workers and controllers say to each other. */
public final class WorkerForms {

    private static final String ADDRESS = "10.1.0.14:9000";
    private static final FencingToken TOKEN = new FencingToken(41);
    private static final long TENURE = 3;

    private WorkerForms() {}

    static void write(GoldenFile file) {
        JsonNode report = GoldenFile.readJsonInput("report.json");
        file.addWithFieldMutations("report", report, WorkerForms::describe);
        for (String status : List.of("pulling", "running", "saving", "ended", "waiting")) {
            file.add("status " + status, describe(withTask(report, "status", status)));
        }
        for (String cause :
                List.of("done", "stopped", "error", "no_room", "busy", "no_such", "unheard-of")) {
            file.add("cause " + cause, describe(withTask(report, "cause", cause)));
        }
        file.add("answer", WorkerProtocol.heartbeatReply(TOKEN, sampleOrders()));
        file.add("answer without orders", WorkerProtocol.heartbeatReply(TOKEN, List.of()));
        for (Order order : sampleOrders()) {
            JsonNode alone = WorkerProtocol.encodeOrders(List.of(order));
            file.add("a stop among " + alone, String.valueOf(WorkerProtocol.containsStop(alone)));
        }
        file.add("message", WorkerProtocol.directMessage(TOKEN, TENURE, sampleOrders()));
        writeRequests(file);
    }

    /** One order of each kind. */
    public static List<Order> sampleOrders() {
        TaskRef task = new TaskRef("run-000412", 3);
        return List.of(
                new Order.Run(task, 1), new Order.Stop(task, 2, 4.5), new Order.Clear(task, 3));
    }

    /** What is read of a report; names of enum constants may change, their order may not. */
    public static String describe(Heartbeat report) {
        if (report == null) {
            return "refused";
        }
        StringBuilder tasks = new StringBuilder();
        for (Heartbeat.AttemptStatus line : report.attempts()) {
            tasks.append(", task ")
                    .append(line.taskRef())
                    .append(" attempt ")
                    .append(line.attemptNumber())
                    .append(" state ")
                    .append(line.state().ordinal())
                    .append(" cause ")
                    .append(line.cause().ordinal());
        }
        return String.join(" ", report.machine(), report.address(), report.type(), report.zone())
                + (report.spot() ? " spot " : " ordinary ")
                + report.incarnation()
                + " "
                + report.sequence()
                + " "
                + report.fencingToken()
                + " notice "
                + report.reclaimNoticeS()
                + tasks;
    }

    private static String describe(JsonNode message) {
        return describe(WorkerProtocol.parseHeartbeat(message).orElse(null));
    }

    private static JsonNode withTask(JsonNode report, String field, String value) {
        JsonNode changed = report.deepCopy();
        ((ObjectNode) changed.path("shards").path(0)).put(field, value);
        return changed;
    }

    private static void writeRequests(GoldenFile file) {
        SimulatedLoop loop = new SimulatedLoop();
        RecordingSender sender = new RecordingSender(file);
        HttpWorkerClient workers = new HttpWorkerClient(loop, sender, 2.5);
        byte[] report = GoldenFile.readInput("report.json");
        for (int status : new int[] {200, 409, 400}) {
            sender.respondWith(status, report);
            workers.sendOrders(
                    ADDRESS,
                    TOKEN,
                    TENURE,
                    sampleOrders(),
                    result -> file.add("orders answered " + status, told(result)));
            workers.forwardOrders(
                    ADDRESS,
                    TOKEN,
                    TENURE,
                    WorkerProtocol.encodeOrders(sampleOrders()),
                    heard -> file.add("forwarded orders answered " + status, heard));
            workers.probe(
                    ADDRESS,
                    answer -> file.add("probe answered " + status, describe(answer.orElse(null))));
            loop.run(loop.now() + 1);
        }
    }

    private static String told(WorkerClient.Result result) {
        if (result instanceof WorkerClient.Result.Responded heard) {
            return (heard.executed() ? "executed, " : "not executed, ")
                    + describe(heard.heartbeat());
        }
        return result instanceof WorkerClient.Result.NotSent ? "not sent" : "no answer";
    }

    /** A report as a worker sends it. */
    public static byte[] heartbeatBody() {
        String text = new String(GoldenFile.readInput("report.json"), StandardCharsets.UTF_8);
        return text.strip().getBytes(StandardCharsets.UTF_8);
    }
}
