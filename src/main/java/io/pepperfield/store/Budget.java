package io.pepperfield.store;

import io.pepperfield.loop.Loop;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;

/**
 * This node's part of the state service's two rates. What exceeds it waits in order of urgency;
 * what has waited too long is refused here, which is certain, instead of by the service. The
 * leader's writes and the users' have changes of their own: a leader that always has something to
 * write must not keep its users waiting, nor they its starts.
 */
final class Budget {

    /** A request that waits for its rate, until a loop time at which it is refused. */
    private record Waiting(int writes, double until, Runnable go, Runnable refuse) {}

    /** A token bucket for changes per second. */
    private static final class Changes {
        double rate;
        double left;

        void rate(double perSecond) {
            left = Math.min(rate == 0 ? perSecond : left, perSecond);
            rate = perSecond;
        }

        void refill(double seconds) {
            left = Math.min(rate, left + seconds * rate);
        }

        /**
         * A second's worth may be saved up; what is larger goes once as much is there, and is paid
         * for afterwards.
         */
        boolean allow(int changes) {
            return changes == 0 || rate > 0 && left >= Math.min(changes, rate);
        }
    }

    private final Loop loop;
    private final Map<StateService.Urgency, ArrayDeque<Waiting>> queues =
            new EnumMap<>(StateService.Urgency.class);
    private double requestRate;
    private double requests;
    private final Changes leaders = new Changes();
    private final Changes users = new Changes();
    private double filledAt;
    private boolean pumping;

    Budget(Loop loop) {
        this.loop = loop;
        for (StateService.Urgency urgency : StateService.Urgency.values()) {
            queues.put(urgency, new ArrayDeque<>());
        }
    }

    /**
     * Sets the parts of both rates; a second's worth may be saved up, as the service allows in all.
     */
    void share(double requestRate, double leadersWriteRate, double usersWriteRate) {
        refill();
        this.requestRate = requestRate;
        this.requests = Math.min(requests == 0 ? requestRate : requests, requestRate);
        leaders.rate(leadersWriteRate);
        users.rate(usersWriteRate);
    }

    void submit(
            StateService.Urgency urgency,
            int changes,
            double patienceS,
            Runnable go,
            Runnable refuse) {
        // A leadership renewal that waits in a queue ends a leadership; it is charged but never
        // held back.
        if (urgency == StateService.Urgency.GRANT) {
            refill();
            requests -= 1;
            users.left -= changes;
            go.run();
            return;
        }
        queues.get(urgency).add(new Waiting(changes, loop.now() + patienceS, go, refuse));
        if (!pumping) {
            pump();
        }
    }

    private void refill() {
        double now = loop.now();
        requests = Math.min(requestRate, requests + (now - filledAt) * requestRate);
        leaders.refill(now - filledAt);
        users.refill(now - filledAt);
        filledAt = now;
    }

    private void pump() {
        pumping = false;
        refill();
        boolean blocked = false;
        for (Map.Entry<StateService.Urgency, ArrayDeque<Waiting>> entry : queues.entrySet()) {
            Changes changes = entry.getKey() == StateService.Urgency.RUN ? leaders : users;
            ArrayDeque<Waiting> queue = entry.getValue();
            while (!queue.isEmpty()) {
                Waiting first = queue.peek();
                if (first.until < filledAt) {
                    queue.poll();
                    first.refuse.run();
                } else if (requests >= 1 && changes.allow(first.writes)) {
                    queue.poll();
                    requests -= 1;
                    changes.left -= first.writes;
                    first.go.run();
                } else {
                    // What is behind may need no changes: a leader that waits for its writes still
                    // answers questions.
                    blocked = true;
                    break;
                }
            }
        }
        // What was let go may have asked for more and set the timer already.
        if (blocked && !pumping) {
            pumping = true;
            loop.after(Math.max(1 / requestRate, 0.01), this::pump);
        }
    }
}
