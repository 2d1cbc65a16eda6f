package io.pepperfield.cloud;

import io.pepperfield.loop.Loop;
import java.util.ArrayDeque;

/**
 * Spaces requests so that they keep below the cloud's rate limit; urgent ones go before background
 * ones. Used on the event loop thread only.
 */
final class PacedRequestQueue {

    /**
     * A fifth below the rate: clocks drift, and other controllers list the machine types now and
     * then.
     */
    private static final double SPACING_FACTOR = 1.25;

    /** Seconds of unused rate that are saved for a burst; the cloud's interface allows two. */
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
