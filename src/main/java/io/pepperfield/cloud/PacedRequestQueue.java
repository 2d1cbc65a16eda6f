package io.pepperfield.cloud;

import io.pepperfield.loop.Loop;
import java.util.ArrayDeque;

/**
 * Sends requests at a rate below the provider's limit, urgent requests before background ones.
 * Confined to the event loop thread.
 */
final class PacedRequestQueue {

    /**
     * Keeps the rate a fifth below the limit, since clocks drift and other controllers occasionally
     * list the machine types.
     */
    private static final double SPACING_FACTOR = 1.25;

    /** Seconds of unused rate that accumulate for a burst; the provider allows two. */
    private static final double BURST_S = 1;

    private final Loop loop;
    private final double spacingS;
    private final ArrayDeque<Runnable> urgent = new ArrayDeque<>();
    private final ArrayDeque<Runnable> background = new ArrayDeque<>();
    private double nextRequestAt;
    private boolean wakeupScheduled;

    PacedRequestQueue(Loop loop, double requestsPerSecond) {
        this.loop = loop;
        this.spacingS = SPACING_FACTOR / requestsPerSecond;
    }

    void addUrgent(Runnable request) {
        add(urgent, request);
    }

    void addBackground(Runnable request) {
        add(background, request);
    }

    private void add(ArrayDeque<Runnable> queue, Runnable request) {
        queue.add(request);
        if (!wakeupScheduled) {
            sendDue();
        }
    }

    private void sendDue() {
        wakeupScheduled = false;
        while (!urgent.isEmpty() || !background.isEmpty()) {
            double now = loop.now();
            nextRequestAt = Math.max(nextRequestAt, now - BURST_S);
            if (nextRequestAt > now) {
                wakeupScheduled = true;
                loop.schedule(nextRequestAt - now, this::sendDue);
                return;
            }
            nextRequestAt += spacingS;
            (urgent.isEmpty() ? background : urgent).poll().run();
        }
    }
}
