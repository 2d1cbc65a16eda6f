package io.pepperfield.standin;

import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.InboundRequest;
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
        /** A request of the host {@code from}; an answer may never come. */
        void request(
                String from, String method, String path, byte[] body, Consumer<HttpReply> answer);

        /** Connections are refused while this is false. */
        boolean alive();
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
    public void cut(String from, String to, double until) {
        cutUntil.merge(from + ">" + to, until, Math::max);
    }

    /** As {@link #cut}, but connections are refused at once and nothing is held back. */
    public void refuse(String from, String to, double until) {
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
    public static InboundRequest call(String method, String uri, byte[] body) {
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
    public void slow(double byS, double until) {
        slowBy = byS;
        slowUntil = until;
    }

    private double delay() {
        return 0.0005 + random.nextDouble() * 0.004 + (now < slowUntil ? slowBy : 0);
    }

    /** The way out of one host. */
    public HttpSender from(String name) {
        return (host, port, connections, method, path, body, deadlineMs, done) -> {
            String to = host + ":" + port;
            boolean[] over = new boolean[1];
            Consumer<HttpOutcome> finish =
                    outcome -> {
                        if (!over[0]) {
                            over[0] = true;
                            done.accept(outcome);
                        }
                    };
            double held = heldUntil(name, to);
            Host target = hosts.get(to);
            if (held <= now && (target == null || !target.alive())
                    || last(refusedUntil, name, to) > now) {
                after(delay(), () -> finish.accept(new HttpOutcome.NotSent("refused")));
                return;
            }
            boolean[] sent = new boolean[1];
            after(deadlineMs / 1000.0, () -> finish.accept(new HttpOutcome.NoAnswer("deadline")));
            double wait =
                    random.nextDouble() < lateDeliveryShare
                            ? 5 + random.nextDouble() * 60
                            : delay();
            if (duplicateDeliveryShare > 0
                    && path.equals("/agent/beat")
                    && random.nextDouble() < duplicateDeliveryShare) {
                after(
                        2 + random.nextDouble() * 58,
                        () -> {
                            Host there = hosts.get(to);
                            if (there != null && there.alive()) {
                                there.request(name, method, path, body, reply -> {});
                            }
                        });
            }
            at(
                    Math.max(held, now) + wait,
                    () -> {
                        sent[0] = true;
                        Host there = hosts.get(to);
                        if (there == null || !there.alive()) {
                            return;
                        }
                        there.request(
                                name,
                                method,
                                path,
                                body,
                                reply -> {
                                    if (random.nextDouble() >= messageLossShare) {
                                        at(
                                                Math.max(heldUntil(name, to), now) + delay(),
                                                () ->
                                                        finish.accept(
                                                                new HttpOutcome.Answered(
                                                                        reply.status(),
                                                                        reply.body())));
                                    }
                                });
                    });
        };
    }
}
