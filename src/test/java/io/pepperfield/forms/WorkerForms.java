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

/** Messages between workers and controllers. */
public final class WorkerForms {

    private static final String ADDRESS = "10.1.0.14:9000";
    private static final FencingToken TOKEN = new FencingToken(41);
    private static final long INCARNATION = 3;

    private WorkerForms() {}

    static void write(GoldenFile file) {
        JsonNode heartbeat = GoldenFile.readJsonInput("report.json");
        file.addWithFieldMutations("report", heartbeat, WorkerForms::describe);
        for (String status : List.of("pulling", "running", "saving", "ended", "waiting")) {
            file.add("status " + status, describe(withTask(heartbeat, "status", status)));
        }
        for (String cause :
                List.of("done", "stopped", "error", "no_room", "busy", "no_such", "unheard-of")) {
            file.add("cause " + cause, describe(withTask(heartbeat, "cause", cause)));
        }
        file.add("answer", WorkerProtocol.heartbeatReply(TOKEN, sampleOrders()));
        file.add("answer without orders", WorkerProtocol.heartbeatReply(TOKEN, List.of()));
        for (Order order : sampleOrders()) {
            JsonNode alone = WorkerProtocol.encodeOrders(List.of(order));
            file.add("a stop among " + alone, String.valueOf(WorkerProtocol.containsStop(alone)));
        }
        file.add("message", WorkerProtocol.directMessage(TOKEN, INCARNATION, sampleOrders()));
        writeRequests(file);
    }

    /** Returns one order of each kind. */
    public static List<Order> sampleOrders() {
        TaskRef task = new TaskRef("run-000412", 3);
        return List.of(
                new Order.Run(task, 1), new Order.Stop(task, 2, 4.5), new Order.Clear(task, 3));
    }

    /**
     * Describes a decoded heartbeat; null stands for a rejected one. Enum constants are given by
     * ordinal: their names may change, but not their order.
     */
    public static String describe(Heartbeat heartbeat) {
        if (heartbeat == null) {
            return "refused";
        }
        StringBuilder tasks = new StringBuilder();
        for (Heartbeat.AttemptStatus attempt : heartbeat.attempts()) {
            tasks.append(", task ")
                    .append(attempt.taskRef())
                    .append(" attempt ")
                    .append(attempt.attemptNumber())
                    .append(" state ")
                    .append(attempt.state().ordinal())
                    .append(" cause ")
                    .append(attempt.cause().ordinal());
        }
        return String.join(
                        " ",
                        heartbeat.machine(),
                        heartbeat.address(),
                        heartbeat.type(),
                        heartbeat.zone())
                + (heartbeat.spot() ? " spot " : " ordinary ")
                + heartbeat.incarnation()
                + " "
                + heartbeat.sequence()
                + " "
                + heartbeat.fencingToken()
                + " notice "
                + heartbeat.reclaimNoticeS()
                + tasks;
    }

    private static String describe(JsonNode message) {
        return describe(WorkerProtocol.parseHeartbeat(message).orElse(null));
    }

    private static JsonNode withTask(JsonNode heartbeat, String field, String value) {
        JsonNode changed = heartbeat.deepCopy();
        ((ObjectNode) changed.path("shards").path(0)).put(field, value);
        return changed;
    }

    private static void writeRequests(GoldenFile file) {
        SimulatedLoop loop = new SimulatedLoop();
        RecordingSender sender = new RecordingSender(file);
        HttpWorkerClient workers = new HttpWorkerClient(loop, sender, 2.5);
        byte[] body = GoldenFile.readInput("report.json");
        for (int status : new int[] {200, 409, 400}) {
            sender.respondWith(status, body);
            workers.sendOrders(
                    ADDRESS,
                    TOKEN,
                    INCARNATION,
                    sampleOrders(),
                    result -> file.add("orders answered " + status, describeResult(result)));
            workers.forwardOrders(
                    ADDRESS,
                    TOKEN,
                    INCARNATION,
                    WorkerProtocol.encodeOrders(sampleOrders()),
                    response -> file.add("forwarded orders answered " + status, response));
            workers.probe(
                    ADDRESS,
                    heartbeat ->
                            file.add("probe answered " + status, describe(heartbeat.orElse(null))));
            loop.run(loop.now() + 1);
        }
    }

    private static String describeResult(WorkerClient.Result result) {
        if (result instanceof WorkerClient.Result.Responded response) {
            return (response.executed() ? "executed, " : "not executed, ")
                    + describe(response.heartbeat());
        }
        return result instanceof WorkerClient.Result.NotSent ? "not sent" : "no answer";
    }

    /** Returns the body of a heartbeat as a worker sends it. */
    public static byte[] heartbeatBody() {
        String text = new String(GoldenFile.readInput("report.json"), StandardCharsets.UTF_8);
        return text.strip().getBytes(StandardCharsets.UTF_8);
    }
}
