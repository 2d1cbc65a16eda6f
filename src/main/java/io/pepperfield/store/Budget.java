package io.pepperfield.store;

import io.pepperfield.node.Loop;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.Map;

/**
 * This node's part of the state service's two rates. What exceeds it waits in order of urgency; what has waited too
 * long is refused here, which is certain, instead of by the service.
 */
final class Budget {

    private record Waiting(int writes, double until, Runnable go, Runnable refuse) { }

    private final Loop loop;
    private final Map<StateService.Urgency, ArrayDeque<Waiting>> queues = new EnumMap<>(StateService.Urgency.class);
    private double requestRate;
    private double writeRate;
    private double requests;
    private double writes;
    private double filledAt;
    private boolean pumping;

    Budget(Loop loop) {
        this.loop = loop;
        for (StateService.Urgency urgency : StateService.Urgency.values()) {
            queues.put(urgency, new ArrayDeque<>());
        }
    }

    /** Sets the part of both rates; a second's worth may be saved up, as the service allows in all. */
    void share(double requestRate, double writeRate) {
        refill();
        this.requestRate = requestRate;
        this.writeRate = writeRate;
        this.requests = Math.min(requests == 0 ? requestRate : requests, requestRate);
        this.writes = Math.min(writes == 0 ? writeRate : writes, writeRate);
    }

    void submit(StateService.Urgency urgency, int changes, double patienceS, Runnable go, Runnable refuse) {
        // A leadership renewal that waits in a queue ends a leadership; it is charged but never held back.
        if (urgency == StateService.Urgency.GRANT) {
            refill();
            requests -= 1;
            writes -= changes;
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
        writes = Math.min(writeRate, writes + (now - filledAt) * writeRate);
        filledAt = now;
    }

    private void pump() {
        pumping = false;
        refill();
        boolean writesShort = false;
        boolean blocked = false;
        for (ArrayDeque<Waiting> queue : queues.values()) {
            while (!queue.isEmpty()) {
                Waiting first = queue.peek();
                if (first.until < filledAt) {
                    queue.poll();
                    first.refuse.run();
                    continue;
                }
                // Changes wait for the more urgent ones before them, but a question needs none of the changes' rate: it
                // must not be kept waiting, or a leader that writes all the time would answer nobody.
                boolean allowed = first.writes == 0 || !writesShort && writes >= Math.min(first.writes, writeRate);
                if (requests < 1 || !allowed) {
                    writesShort |= first.writes > 0;
                    blocked = true;
                    break;
                }
                queue.poll();
                requests -= 1;
                writes -= first.writes;
                first.go.run();
            }
        }
        // What was let go may have asked for more and set the timer already.
        if (blocked && !pumping) {
            pumping = true;
            loop.after(Math.max(1 / requestRate, 0.01), this::pump);
        }
    }
}
