package io.pepperfield.standin;

import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.OutboundRequest;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Consumer;

/**
 * Simulated time and a simulated network: delays, losses, late deliveries and cuts, all drawn from
 * one seed.
 */
public final class SimWorld {

    /** Whatever listens at an address. */
    public interface Host {
        /** A request of the host {@code senderFrom}; an answer may never come. */
        void request(
                String from, String method, String path, byte[] body, Consumer<HttpReply> answer);

        /** Connections are refused while this is false. */
        boolean isAlive();
    }

    /** A step of the simulation, at its time and in its order. */
    private record Event(double at, long order, Runnable run) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Double.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    public final Random random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Map<String, Host> hosts = new HashMap<>();
    private final Map<String, Double> cutUntil = new HashMap<>();
    private final Map<String, Double> refusedUntil = new HashMap<>();
    private long order;
    private double now;
    private double slowBy;
    private double slowUntil;

    /** Parts of all requests whose answer is lost, or which arrive only much later. */
    public double messageLossShare;

    public double lateDeliveryShare;

    /** Part of all reports of which a copy comes once more, seconds to well over a lease later. */
    public double duplicateDeliveryShare;

    public SimWorld(long seed) {
        this.random = new Random(seed);
    }

    public double now() {
        return now;
    }

    public void at(double time, Runnable run) {
        events.add(new Event(Math.max(now, time), order++, run));
    }

    public void after(double seconds, Runnable run) {
        at(now + seconds, run);
    }

    public void run(double until) {
        while (!events.isEmpty() && events.peek().at <= until) {
            Event event = events.poll();
            now = event.at;
            event.run.run();
        }
        now = until;
    }

    public void listen(String address, Host host) {
        hosts.put(address, host);
    }

    /**
     * Cuts the way between two hosts (by name; a prefix cuts all that begin so) until then; packets
     * are held back.
     */
    public void partition(String from, String to, double until) {
        cutUntil.merge(from + ">" + to, until, Math::max);
    }

    /** As {@link #partition}, but connections are refused at once and nothing is held back. */
    public void refuseConnections(String from, String to, double until) {
        refusedUntil.merge(from + ">" + to, until, Math::max);
    }

    private double heldUntil(String from, String to) {
        return last(cutUntil, from, to);
    }

    private double last(Map<String, Double> cuts, String from, String to) {
        double until = now;
        cuts.values().removeIf(over -> over <= now);
        for (Map.Entry<String, Double> cut : cuts.entrySet()) {
            int arrow = cut.getKey().indexOf('>');
            String a = cut.getKey().substring(0, arrow);
            String b = cut.getKey().substring(arrow + 1);
            if (from.startsWith(a) && to.startsWith(b) || from.startsWith(b) && to.startsWith(a)) {
                until = Math.max(until, cut.getValue());
            }
        }
        return until;
    }

    /** A request as it is handed to whoever handles it. */
    public static InboundRequest inboundRequest(String method, String uri, byte[] body) {
        Map<String, List<String>> query = new HashMap<>();
        int mark = uri.indexOf('?');
        if (mark >= 0) {
            for (String pair : uri.substring(mark + 1).split("&")) {
                query.put(
                        pair.substring(0, pair.indexOf('=')),
                        List.of(pair.substring(pair.indexOf('=') + 1)));
            }
        }
        return new InboundRequest(
                method,
                mark < 0 ? uri : uri.substring(0, mark),
                query,
                body == null ? new byte[0] : body);
    }

    /** Until then every message takes so much longer. */
    public void delayMessages(double byS, double until) {
        slowBy = byS;
        slowUntil = until;
    }

    private double delay() {
        return 0.0005 + random.nextDouble() * 0.004 + (now < slowUntil ? slowBy : 0);
    }

    /** The way out of one host. */
    public HttpSender senderFrom(String name) {
        return (request, onOutcome) -> send(name, request, new OnceOnly(onOutcome));
    }

    /** Passes the first outcome on; what comes after it is too late. */
    private static final class OnceOnly implements Consumer<HttpOutcome> {
        private final Consumer<HttpOutcome> next;
        private boolean completed;

        OnceOnly(Consumer<HttpOutcome> next) {
            this.next = next;
        }

        @Override
        public void accept(HttpOutcome outcome) {
            if (!completed) {
                completed = true;
                next.accept(outcome);
            }
        }
    }

    private void send(String from, OutboundRequest request, OnceOnly onOutcome) {
        String to = request.host() + ":" + request.port();
        double held = heldUntil(from, to);
        Host target = hosts.get(to);
        if (held <= now && (target == null || !target.isAlive())
                || last(refusedUntil, from, to) > now) {
            after(delay(), () -> onOutcome.accept(new HttpOutcome.NotSent("refused")));
            return;
        }
        after(
                request.deadlineMs() / 1000.0,
                () -> onOutcome.accept(new HttpOutcome.NoAnswer("deadline")));
        double wait =
                random.nextDouble() < lateDeliveryShare ? 5 + random.nextDouble() * 60 : delay();
        if (duplicateDeliveryShare > 0
                && request.path().equals("/agent/beat")
                && random.nextDouble() < duplicateDeliveryShare) {
            after(2 + random.nextDouble() * 58, () -> deliver(from, to, request, reply -> {}));
        }
        at(
                Math.max(held, now) + wait,
                () -> deliver(from, to, request, reply -> sendReply(from, to, reply, onOutcome)));
    }

    /** Hands a request to its host, where there is one at that time. */
    private void deliver(
            String from, String to, OutboundRequest request, Consumer<HttpReply> onReply) {
        Host target = hosts.get(to);
        if (target != null && target.isAlive()) {
            target.request(from, request.method(), request.path(), request.body(), onReply);
        }
    }

    /** The way back, on which replies may be lost. */
    private void sendReply(String from, String to, HttpReply reply, OnceOnly onOutcome) {
        if (random.nextDouble() >= messageLossShare) {
            HttpOutcome answered = new HttpOutcome.Answered(reply.status(), reply.body());
            at(Math.max(heldUntil(from, to), now) + delay(), () -> onOutcome.accept(answered));
        }
    }
}
