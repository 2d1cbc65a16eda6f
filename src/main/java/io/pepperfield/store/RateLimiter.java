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
final class RateLimiter {

    /** A request that waits for its rate, until a loop time at which it is refused. */
    private record QueuedRequest(int mutations, double deadline, Runnable send, Runnable reject) {}

    /** A token bucket for changes per second. */
    private static final class TokenBucket {
        double rate;
        double available;

        void rate(double perSecond) {
            available = Math.min(rate == 0 ? perSecond : available, perSecond);
            rate = perSecond;
        }

        void refill(double seconds) {
            available = Math.min(rate, available + seconds * rate);
        }

        /**
         * A second's worth may be saved up; what is larger goes once as much is there, and is paid
         * for afterwards.
         */
        boolean allows(int changes) {
            return changes == 0 || rate > 0 && available >= Math.min(changes, rate);
        }
    }

    private final Loop loop;
    private final Map<KeyValueStore.RequestPriority, ArrayDeque<QueuedRequest>> queues =
            new EnumMap<>(KeyValueStore.RequestPriority.class);
    private double requestRate;
    private double availableRequests;
    private final TokenBucket leaderBucket = new TokenBucket();
    private final TokenBucket userBucket = new TokenBucket();
    private double refilledAt;
    private boolean drainScheduled;

    RateLimiter(Loop loop) {
        this.loop = loop;
        for (KeyValueStore.RequestPriority urgency : KeyValueStore.RequestPriority.values()) {
            queues.put(urgency, new ArrayDeque<>());
        }
    }

    /**
     * Sets the parts of both rates; a second's worth may be saved up, as the service allows in all.
     */
    void setRates(double requestRate, double leadersWriteRate, double usersWriteRate) {
        refill();
        this.requestRate = requestRate;
        this.availableRequests =
                Math.min(availableRequests == 0 ? requestRate : availableRequests, requestRate);
        leaderBucket.rate(leadersWriteRate);
        userBucket.rate(usersWriteRate);
    }

    void submit(
            KeyValueStore.RequestPriority urgency,
            int changes,
            double patienceS,
            Runnable go,
            Runnable refuse) {
        // A leadership renewal that waits in a queue ends a leadership; it is charged but never
        // held back.
        if (urgency == KeyValueStore.RequestPriority.GRANT) {
            refill();
            availableRequests -= 1;
            userBucket.available -= changes;
            go.run();
            return;
        }
        queues.get(urgency).add(new QueuedRequest(changes, loop.now() + patienceS, go, refuse));
        if (!drainScheduled) {
            drainQueues();
        }
    }

    private void refill() {
        double now = loop.now();
        availableRequests =
                Math.min(requestRate, availableRequests + (now - refilledAt) * requestRate);
        leaderBucket.refill(now - refilledAt);
        userBucket.refill(now - refilledAt);
        refilledAt = now;
    }

    private void drainQueues() {
        drainScheduled = false;
        refill();
        boolean blocked = false;
        for (Map.Entry<KeyValueStore.RequestPriority, ArrayDeque<QueuedRequest>> entry :
                queues.entrySet()) {
            TokenBucket changes =
                    entry.getKey() == KeyValueStore.RequestPriority.LEADER_WRITE
                            ? leaderBucket
                            : userBucket;
            ArrayDeque<QueuedRequest> queue = entry.getValue();
            while (!queue.isEmpty()) {
                QueuedRequest first = queue.peek();
                if (first.deadline < refilledAt) {
                    queue.poll();
                    first.reject.run();
                } else if (availableRequests >= 1 && changes.allows(first.mutations)) {
                    queue.poll();
                    availableRequests -= 1;
                    changes.available -= first.mutations;
                    first.send.run();
                } else {
                    // What is behind may need no changes: a leader that waits for its writes still
                    // answers questions.
                    blocked = true;
                    break;
                }
            }
        }
        // What was let go may have asked for more and set the timer already.
        if (blocked && !drainScheduled) {
            drainScheduled = true;
            loop.after(Math.max(1 / requestRate, 0.01), this::drainQueues);
        }
    }
}
