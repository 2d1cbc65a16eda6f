package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.Json;
import io.pepperfield.http.OutboundRequest;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;

/**
 * One machine's worker by its published protocol. Its host calls {@link #tick} often, all from one
 * thread.
 */
public final class WorkerStandIn {

    /**
     * What the region knows of tasks; told of everything that physically happens on the machine.
     */
    public interface TaskOracle {
        /** Seconds a task runs, negative for a replica, NaN for an unknown one. */
        double runDurationS(String task);

        void taskStarted(WorkerStandIn worker, String task);

        void taskEnded(WorkerStandIn worker, String task, boolean done);

        boolean isDone(String task);

        /** Whether it fails at the end of its run time. */
        boolean failsAtEnd(String task);

        /** An order that the worker carries out. */
        default void orderExecuted(Decision decision) {}
    }

    /** An attempt that the worker holds, with its state. */
    private static final class HeldAttempt {
        final int number;
        String status = "pulling";
        String cause = "";
        double statusSince;

        HeldAttempt(int number, double at) {
            this.number = number;
            this.statusSince = at;
        }
    }

    public final String name;
    public final String type;
    public final String zone;
    public final boolean spot;
    public final String address;
    private final DoubleSupplier clock;
    private final HttpSender sender;
    private final List<String> controllers;
    private final List<String> controllerNames;
    private final double heartbeatIntervalS;
    private final double leaseS;
    private final TaskOracle taskOracle;
    private final Map<String, HeldAttempt> heldAttempts = new LinkedHashMap<>();
    private long incarnation = 1;
    private long serial;
    private long fencingToken;
    private int nextController;
    private double nextHeartbeatAt;
    private double lastAnswerAt;
    private boolean heartbeatInFlight;
    private boolean changed;
    private double lastHeartbeatAt = Double.NEGATIVE_INFINITY;
    private double hungUntil;
    private double receiveFailureUntil;
    private boolean dead;

    /** A machine as the cloud rents it, and where its worker is reached. */
    public record MachineIdentity(
            String name, String type, String zone, boolean spot, String address) {}

    /** What a worker is started with: its controllers, in the same order, and its intervals. */
    public record WorkerConfig(
            List<String> controllerNames,
            List<String> controllerAddresses,
            double heartbeatIntervalS,
            double leaseS) {}

    public WorkerStandIn(
            MachineIdentity machine,
            WorkerConfig config,
            DoubleSupplier clock,
            HttpSender sender,
            TaskOracle taskOracle) {
        this.name = machine.name();
        this.type = machine.type();
        this.zone = machine.zone();
        this.spot = machine.spot();
        this.address = machine.address();
        this.clock = clock;
        this.sender = sender;
        this.controllerNames = config.controllerNames();
        this.controllers = config.controllerAddresses();
        this.heartbeatIntervalS = config.heartbeatIntervalS();
        this.leaseS = config.leaseS();
        this.taskOracle = taskOracle;
        this.lastAnswerAt = clock.getAsDouble();
        this.nextController = Math.abs(name.hashCode()) % controllers.size();
    }

    /** The incarnation of its agent: 1 while its lease has never run out. */
    public long incarnation() {
        return incarnation;
    }

    public boolean isBusy() {
        return !heldAttempts.isEmpty();
    }

    /** The tasks that take room on it. */
    public List<String> tasks() {
        return heldAttempts.entrySet().stream()
                .filter(held -> !held.getValue().status.equals("ended"))
                .map(Map.Entry::getKey)
                .toList();
    }

    public boolean isAlive() {
        return !dead;
    }

    public void losePower() {
        dead = true;
        heldAttempts.forEach(
                (task, h) -> {
                    if (h.status.equals("running")) {
                        taskOracle.taskEnded(this, task, false);
                    }
                });
        heldAttempts.clear();
    }

    public void hang(double until) {
        hungUntil = until;
    }

    /** Until then its reports leave, and neither answers nor orders reach it. */
    public void failReceiving(double until) {
        receiveFailureUntil = until;
    }

    public boolean isReceiveFailing() {
        return clock.getAsDouble() < receiveFailureUntil;
    }

    public boolean isHung() {
        return clock.getAsDouble() < hungUntil;
    }

    public void tick() {
        double now = clock.getAsDouble();
        if (dead || isHung()) {
            return;
        }
        if (now - lastAnswerAt > leaseS) {
            heldAttempts.forEach(
                    (task, h) -> {
                        if (h.status.equals("running")) {
                            taskOracle.taskEnded(this, task, false);
                        }
                    });
            heldAttempts.clear();
            incarnation++;
            lastAnswerAt = now;
            changed = true;
        }
        heldAttempts.forEach((task, h) -> advance(task, h, now));
        if (!heartbeatInFlight
                && (now >= nextHeartbeatAt || changed && now - lastHeartbeatAt >= 0.5)) {
            sendHeartbeat(now);
        }
    }

    private void advance(String task, HeldAttempt attempt, double now) {
        if (attempt.status.equals("pulling") && now - attempt.statusSince > 0.4) {
            attempt.statusSince = now;
            changed = true;
            if (taskOracle.isDone(task)) {
                attempt.status = "ended";
                attempt.cause = "done";
            } else {
                attempt.status = "running";
                taskOracle.taskStarted(this, task);
            }
        } else if (attempt.status.equals("running")
                && taskOracle.runDurationS(task) >= 0
                && now - attempt.statusSince > taskOracle.runDurationS(task)) {
            attempt.status = "ended";
            attempt.cause = taskOracle.failsAtEnd(task) ? "error" : "done";
            changed = true;
            taskOracle.taskEnded(this, task, !taskOracle.failsAtEnd(task));
        }
    }

    private void sendHeartbeat(double now) {
        heartbeatInFlight = true;
        changed = false;
        lastHeartbeatAt = now;
        nextHeartbeatAt = now + heartbeatIntervalS;
        serial++;
        long sentTenure = incarnation;
        String[] address = controllers.get(nextController).split(":");
        sender.send(
                new OutboundRequest(
                        address[0],
                        Integer.parseInt(address[1]),
                        1,
                        "POST",
                        "/agent/beat",
                        Json.write(heartbeatBody()),
                        4000),
                outcome -> {
                    heartbeatInFlight = false;
                    double later = clock.getAsDouble();
                    if (dead) {
                        return;
                    }
                    if (isReceiveFailing()) {
                        nextHeartbeatAt = later + 1;
                        nextController = (nextController + 1) % controllers.size();
                        return;
                    }
                    if (outcome instanceof HttpOutcome.Answered answer && answer.status() == 200) {
                        JsonNode json = answer.json();
                        long seen = json.path("epoch").longValue();
                        // Dropped: a lower token, an answer to an earlier incarnation, or one that
                        // came
                        // after the worker's patience.
                        if (!isHung()
                                && sentTenure == incarnation
                                && seen >= fencingToken
                                && later - now <= 4) {
                            changed |= seen > fencingToken;
                            fencingToken = seen;
                            lastAnswerAt = now;
                            execute(json.path("orders"), later);
                        }
                        return;
                    }
                    nextHeartbeatAt = later + 1;
                    if (outcome instanceof HttpOutcome.Answered answer
                            && answer.status() == 421
                            && controllerNames.contains(answer.json().path("manager").asText())) {
                        nextController =
                                controllerNames.indexOf(answer.json().path("manager").asText());
                        nextHeartbeatAt = later + 0.1;
                    } else {
                        nextController = (nextController + 1) % controllers.size();
                    }
                });
    }

    private ObjectNode heartbeatBody() {
        ObjectNode body =
                Json.object()
                        .put("host", name)
                        .put("addr", address)
                        .put("flavour", type)
                        .put("site", zone)
                        .put("reclaimable", spot)
                        .put("tenure", incarnation)
                        .put("serial", serial)
                        .put("epoch", fencingToken);
        body.putNull("warningS");
        ArrayNode shards = body.putArray("shards");
        heldAttempts.forEach(
                (task, h) -> {
                    ObjectNode line =
                            shards.addObject()
                                    .put("shard", task)
                                    .put("try", h.number)
                                    .put("status", h.status);
                    if (!h.cause.isEmpty()) {
                        line.put("cause", h.cause);
                    }
                });
        return body;
    }

    private void execute(JsonNode orders, double now) {
        for (JsonNode order : orders) {
            String task = order.path("shard").asText();
            int number = order.path("try").intValue();
            HeldAttempt h = heldAttempts.get(task);
            switch (order.path("verb").asText()) {
                case "run" -> {
                    if (h != null && h.number == number) {
                        continue;
                    }
                    changed = true;
                    if (h != null) {
                        // The stand-in holds one attempt of a task; a second one is refused and not
                        // kept.
                        continue;
                    }
                    HeldAttempt begun = new HeldAttempt(number, now);
                    heldAttempts.put(task, begun);
                    taskOracle.orderExecuted(Decision.start(task, number, name));
                    if (Double.isNaN(taskOracle.runDurationS(task))) {
                        begun.status = "ended";
                        begun.cause = "no_such";
                    }
                }
                case "stop" -> {
                    if (h != null && h.number == number && !h.status.equals("ended")) {
                        taskOracle.orderExecuted(Decision.stop(task, number, name));
                        if (h.status.equals("running")) {
                            taskOracle.taskEnded(this, task, false);
                        }
                        h.status = "ended";
                        h.cause = "stopped";
                        changed = true;
                    }
                }
                default -> {
                    if (h != null && h.number == number && h.status.equals("ended")) {
                        heldAttempts.remove(task);
                        changed = true;
                    }
                }
            }
        }
    }

    /** Direct messages. A hanging machine takes them up when it goes on. */
    public void handle(String path, byte[] bytes, Consumer<HttpReply> answer) {
        serial++;
        if (path.equals("/status")) {
            answer.accept(HttpReply.json(200, heartbeatBody()));
            return;
        }
        JsonNode message = Json.read(bytes);
        if (!message.has("epoch") || !message.has("tenure")) {
            answer.accept(HttpReply.empty(400));
        } else if (message.path("epoch").longValue() < fencingToken
                || message.path("tenure").longValue() != incarnation) {
            answer.accept(HttpReply.json(409, heartbeatBody()));
        } else {
            fencingToken = message.path("epoch").longValue();
            execute(message.path("orders"), clock.getAsDouble());
            answer.accept(HttpReply.json(200, heartbeatBody()));
        }
    }
}
