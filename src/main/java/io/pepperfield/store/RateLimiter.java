package io.pepperfield.store;

import io.pepperfield.loop.Loop;
import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;

/**
 * This controller's part of the state service's two rates, requests and mutations per second. What
 * exceeds it waits in order of priority; what has waited too long is rejected here, which is
 * certain, instead of by the service. The leader's writes and the users' have mutations of their
 * own: a leader that always has something to write must not keep its users waiting, nor they its
 * starts. Confined to the event loop's thread.
 */
final class RateLimiter {

    /** The least time between two looks at the queues. */
    private static final double MIN_DRAIN_INTERVAL_S = 0.01;

    /** A request that waits for its rate, until a loop time in seconds at which it is rejected. */
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
         * A second's worth may be saved up; a larger request goes once as much is there, and is
         * paid for afterwards.
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
     * Sets the parts of both rates, per second; a second's worth may be saved up, as the service
     * allows in all.
     */
    void setRates(double newRequestRate, double leadersWriteRate, double usersWriteRate) {
        refill();
        requestRate = newRequestRate;
        availableRequests =
                Math.min(
                        availableRequests == 0 ? newRequestRate : availableRequests,
                        newRequestRate);
        leaderBucket.setRate(leadersWriteRate);
        userBucket.setRate(usersWriteRate);
    }

    /**
     * Sends a request at once or as soon as the rates allow it.
     *
     * @param mutations how many keys it writes
     * @param timeoutS seconds after which it is rejected where it has not been sent
     */
    void submit(
            KeyValueStore.RequestPriority priority,
            int mutations,
            double timeoutS,
            Runnable send,
            Runnable reject) {
        // A lease renewal that waits in a queue ends a leadership; it is charged but never held
        // back.
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
            boolean leaders = priority == KeyValueStore.RequestPriority.LEADER_WRITE;
            // What is behind a blocked queue may need no mutations: a leader that waits for its
            // writes still answers queries.
            blocked |= !drain(queues.get(priority), leaders ? leaderBucket : userBucket);
        }
        // What was sent may have submitted more and set the timer already.
        if (blocked && !drainScheduled) {
            drainScheduled = true;
            loop.schedule(Math.max(1 / requestRate, MIN_DRAIN_INTERVAL_S), this::drainQueues);
        }
    }

    /** Returns false where the rates hold back what is left in the queue. */
    private boolean drain(ArrayDeque<QueuedRequest> queue, TokenBucket bucket) {
        while (!queue.isEmpty()) {
            QueuedRequest first = queue.peek();
            if (first.deadline < refilledAt) {
                queue.poll();
                first.reject.run();
            } else if (availableRequests >= 1 && bucket.allows(first.mutations)) {
                queue.poll();
                availableRequests -= 1;
                bucket.take(first.mutations);
                first.send.run();
            } else {
                return false;
            }
        }
        return true;
    }
}
