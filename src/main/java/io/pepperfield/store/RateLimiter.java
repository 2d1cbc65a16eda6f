package io.pepperfield.store;

import io.pepperfield.loop.Loop;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;

/**
 * Limits this controller to its share of the state service's two rates, requests and mutations per
 * second. Requests above the rates are queued by priority. A request that is queued for too long is
 * rejected locally instead of by the service, so that it has certainly not been sent. The leader's
 * writes and users' writes have separate mutation budgets, so that a leader with a continuous
 * stream of writes does not delay users, nor users the leader's task starts. Confined to the event
 * loop's thread.
 */
final class RateLimiter {

    /** Minimum interval between two scheduled drains of the queues. */
    private static final double MIN_DRAIN_INTERVAL_S = 0.01;

    /** A queued request, which is rejected at the deadline, a loop time in seconds. */
    private record QueuedRequest(int mutations, double deadline, Runnable send, Runnable reject) {}

    /** A token bucket for mutations per second. */
    private static final class TokenBucket {
        private double ratePerS;
        private double available;

        void setRate(double newRatePerS) {
            available = Math.min(ratePerS == 0 ? newRatePerS : available, newRatePerS);
            ratePerS = newRatePerS;
        }

        void refill(double seconds) {
            available = Math.min(ratePerS, available + seconds * ratePerS);
        }

        /**
         * The bucket holds up to one second's worth of tokens. A larger request is allowed once the
         * bucket is full, and leaves a negative balance that later refills cover.
         */
        boolean allows(int mutations) {
            return mutations == 0 || ratePerS > 0 && available >= Math.min(mutations, ratePerS);
        }

        void take(int mutations) {
            available -= mutations;
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
        for (KeyValueStore.RequestPriority priority : KeyValueStore.RequestPriority.values()) {
            queues.put(priority, new ArrayDeque<>());
        }
    }

    /**
     * Sets this controller's share of both rates, per second. Up to one second's worth may
     * accumulate, which matches the service's own limit.
     */
    void setRates(double newRequestRate, double leaderWriteRate, double userWriteRate) {
        refill();
        requestRate = newRequestRate;
        availableRequests =
                Math.min(
                        availableRequests == 0 ? newRequestRate : availableRequests,
                        newRequestRate);
        leaderBucket.setRate(leaderWriteRate);
        userBucket.setRate(userWriteRate);
    }

    /**
     * Sends a request immediately, or as soon as the rates allow it.
     *
     * @param mutations number of keys that it writes
     * @param timeoutS seconds after which it is rejected if it has not been sent
     */
    void submit(
            KeyValueStore.RequestPriority priority,
            int mutations,
            double timeoutS,
            Runnable send,
            Runnable reject) {
        // A lease renewal that waits in a queue can end the leadership, so grant requests are
        // charged but never delayed.
        if (priority == KeyValueStore.RequestPriority.GRANT) {
            refill();
            availableRequests -= 1;
            userBucket.take(mutations);
            send.run();
            return;
        }
        queues.get(priority).add(new QueuedRequest(mutations, loop.now() + timeoutS, send, reject));
        if (!drainScheduled) {
            drainQueues();
        }
    }

    private void refill() {
        double now = loop.now();
        double elapsedS = now - refilledAt;
        availableRequests = Math.min(requestRate, availableRequests + elapsedS * requestRate);
        leaderBucket.refill(elapsedS);
        userBucket.refill(elapsedS);
        refilledAt = now;
    }

    private void drainQueues() {
        drainScheduled = false;
        refill();
        boolean blocked = false;
        for (KeyValueStore.RequestPriority priority : queues.keySet()) {
            boolean leaderWrites = priority == KeyValueStore.RequestPriority.LEADER_WRITE;
            // Requests of lower priority than a blocked queue may need no mutations: a leader whose
            // writes are delayed still answers queries.
            blocked |= !drain(queues.get(priority), leaderWrites ? leaderBucket : userBucket);
        }
        // Callbacks of the requests may have submitted more and scheduled the next drain already.
        if (blocked && !drainScheduled) {
            drainScheduled = true;
            loop.schedule(Math.max(1 / requestRate, MIN_DRAIN_INTERVAL_S), this::drainQueues);
        }
    }

    /** Returns false if the rates delay the remaining requests of the queue. */
    private boolean drain(ArrayDeque<QueuedRequest> queue, TokenBucket bucket) {
        while (!queue.isEmpty()) {
            QueuedRequest head = queue.peek();
            if (head.deadline < refilledAt) {
                queue.poll();
                head.reject.run();
            } else if (availableRequests >= 1 && bucket.allows(head.mutations)) {
                queue.poll();
                availableRequests -= 1;
                bucket.take(head.mutations);
                head.send.run();
            } else {
                return false;
            }
        }
        return true;
    }
}
