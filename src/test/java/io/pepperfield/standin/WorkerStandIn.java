package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.http.Outcome;
import io.pepperfield.http.Reply;
import io.pepperfield.http.Sender;
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
    public interface Truth {
        /** Seconds a task runs, negative for a replica, NaN for an unknown one. */
        double runS(String task);

        void begins(WorkerStandIn worker, String task);

        void ends(WorkerStandIn worker, String task, boolean done);

        boolean isDone(String task);

        /** Whether it fails at the end of its run time. */
        boolean fails(String task);

        /** An order that the worker carries out. */
        default void decided(Decision decision) {}
    }

    /** An attempt that the worker holds, with its state. */
    private static final class Held {
        final int number;
        String status = "pulling";
        String cause = "";
        double at;

        Held(int number, double at) {
            this.number = number;
            this.at = at;
        }
    }

    public final String name;
    public final String type;
    public final String zone;
    public final boolean spot;
    public final String address;
    private final DoubleSupplier clock;
    private final Sender sender;
    private final List<String> controllers;
    private final List<String> controllerNames;
    private final double reportS;
    private final double leaseS;
    private final Truth truth;
    private final Map<String, Held> held = new LinkedHashMap<>();
    private long tenure = 1;
    private long serial;
    private long token;
    private int target;
    private double nextAt;
    private double answeredAt;
    private boolean inFlight;
    private boolean changed;
    private double reportedAt = Double.NEGATIVE_INFINITY;
    private double hungUntil;
    private double deafUntil;
    private boolean dead;

    public WorkerStandIn(
            String name,
            String type,
            String zone,
            boolean spot,
            String address,
            DoubleSupplier clock,
            Sender sender,
            List<String> controllerNames,
            List<String> controllers,
            double reportS,
            double leaseS,
            Truth truth) {
        this.name = name;
        this.type = type;
        this.zone = zone;
        this.spot = spot;
        this.address = address;
        this.clock = clock;
        this.sender = sender;
        this.controllerNames = controllerNames;
        this.controllers = controllers;
        this.reportS = reportS;
        this.leaseS = leaseS;
        this.truth = truth;
        this.answeredAt = clock.getAsDouble();
        this.target = Math.abs(name.hashCode()) % controllers.size();
    }

    /** Its session: 1 while its lease has never run out. */
    public long tenure() {
        return tenure;
    }

    public boolean busy() {
        return !held.isEmpty();
    }

    /** The tasks that take room on it. */
    public List<String> tasks() {
        return held.entrySet().stream()
                .filter(e -> !e.getValue().status.equals("ended"))
                .map(Map.Entry::getKey)
                .toList();
    }

    public boolean alive() {
        return !dead;
    }

    public void die() {
        dead = true;
        held.forEach(
                (task, h) -> {
                    if (h.status.equals("running")) {
                        truth.ends(this, task, false);
                    }
                });
        held.clear();
    }

    public void hang(double until) {
        hungUntil = until;
    }

    /** Until then its reports leave, and neither answers nor orders reach it. */
    public void deafen(double until) {
        deafUntil = until;
    }

    public boolean deaf() {
        return clock.getAsDouble() < deafUntil;
    }

    public boolean hung() {
        return clock.getAsDouble() < hungUntil;
    }

    public void tick() {
        double now = clock.getAsDouble();
        if (dead || hung()) {
            return;
        }
        if (now - answeredAt > leaseS) {
            held.forEach(
                    (task, h) -> {
                        if (h.status.equals("running")) {
                            truth.ends(this, task, false);
                        }
                    });
            held.clear();
            tenure++;
            answeredAt = now;
            changed = true;
        }
        held.forEach((task, h) -> advance(task, h, now));
        if (!inFlight && (now >= nextAt || changed && now - reportedAt >= 0.5)) {
            report(now);
        }
    }

    private void advance(String task, Held attempt, double now) {
        if (attempt.status.equals("pulling") && now - attempt.at > 0.4) {
            attempt.at = now;
            changed = true;
            if (truth.isDone(task)) {
                attempt.status = "ended";
                attempt.cause = "done";
            } else {
                attempt.status = "running";
                truth.begins(this, task);
            }
        } else if (attempt.status.equals("running")
                && truth.runS(task) >= 0
                && now - attempt.at > truth.runS(task)) {
            attempt.status = "ended";
            attempt.cause = truth.fails(task) ? "error" : "done";
            changed = true;
            truth.ends(this, task, !truth.fails(task));
        }
    }

    private void report(double now) {
        inFlight = true;
        changed = false;
        reportedAt = now;
        nextAt = now + reportS;
        serial++;
        long sentTenure = tenure;
        String[] address = controllers.get(target).split(":");
        sender.send(
                address[0],
                Integer.parseInt(address[1]),
                1,
                "POST",
                "/agent/beat",
                Json.write(body()),
                4000,
                outcome -> {
                    inFlight = false;
                    double later = clock.getAsDouble();
                    if (dead) {
                        return;
                    }
                    if (deaf()) {
                        nextAt = later + 1;
                        target = (target + 1) % controllers.size();
                        return;
                    }
                    if (outcome instanceof Outcome.Answered answer && answer.status() == 200) {
                        JsonNode json = answer.json();
                        long seen = json.path("epoch").longValue();
                        // Dropped: a lower token, an answer to an earlier session, or one that came
                        // after the worker's patience.
                        if (!hung() && sentTenure == tenure && seen >= token && later - now <= 4) {
                            changed |= seen > token;
                            token = seen;
                            answeredAt = now;
                            execute(json.path("orders"), later);
                        }
                        return;
                    }
                    nextAt = later + 1;
                    if (outcome instanceof Outcome.Answered answer
                            && answer.status() == 421
                            && controllerNames.contains(answer.json().path("manager").asText())) {
                        target = controllerNames.indexOf(answer.json().path("manager").asText());
                        nextAt = later + 0.1;
                    } else {
                        target = (target + 1) % controllers.size();
                    }
                });
    }

    private ObjectNode body() {
        ObjectNode body =
                Json.object()
                        .put("host", name)
                        .put("addr", address)
                        .put("flavour", type)
                        .put("site", zone)
                        .put("reclaimable", spot)
                        .put("tenure", tenure)
                        .put("serial", serial)
                        .put("epoch", token);
        body.putNull("warningS");
        ArrayNode shards = body.putArray("shards");
        held.forEach(
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
            Held h = held.get(task);
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
                    Held begun = new Held(number, now);
                    held.put(task, begun);
                    truth.decided(Decision.start(task, number, name));
                    if (Double.isNaN(truth.runS(task))) {
                        begun.status = "ended";
                        begun.cause = "no_such";
                    }
                }
                case "stop" -> {
                    if (h != null && h.number == number && !h.status.equals("ended")) {
                        truth.decided(Decision.stop(task, number, name));
                        if (h.status.equals("running")) {
                            truth.ends(this, task, false);
                        }
                        h.status = "ended";
                        h.cause = "stopped";
                        changed = true;
                    }
                }
                default -> {
                    if (h != null && h.number == number && h.status.equals("ended")) {
                        held.remove(task);
                        changed = true;
                    }
                }
            }
        }
    }

    /** Direct messages. A hanging machine takes them up when it goes on. */
    public void handle(String path, byte[] bytes, Consumer<Reply> answer) {
        serial++;
        if (path.equals("/status")) {
            answer.accept(Reply.json(200, body()));
            return;
        }
        JsonNode message = Json.read(bytes);
        if (!message.has("epoch") || !message.has("tenure")) {
            answer.accept(Reply.empty(400));
        } else if (message.path("epoch").longValue() < token
                || message.path("tenure").longValue() != tenure) {
            answer.accept(Reply.json(409, body()));
        } else {
            token = message.path("epoch").longValue();
            execute(message.path("orders"), clock.getAsDouble());
            answer.accept(Reply.json(200, body()));
        }
    }
}
