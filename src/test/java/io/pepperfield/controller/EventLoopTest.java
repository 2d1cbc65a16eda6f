package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The order in which commands and timers run, and the thread that may set timers. */
class EventLoopTest {

    private final EventLoop eventLoop = new EventLoop();
    private final List<String> executed = new ArrayList<>();

    @Test
    void commandsOfABatchRunInOrderBeforeASingleAfterBatchCall() {
        eventLoop.setHandlers(
                () -> executed.add("after batch"), () -> executed.add("after failure"));
        eventLoop.post(() -> executed.add("first"));
        eventLoop.post(() -> executed.add("second"));
        eventLoop.post(eventLoop::stop);
        eventLoop.run();
        assertEquals(List.of("first", "second", "after batch"), executed);
    }

    @Test
    void timersRunInOrderOfTheirDueTimes() {
        eventLoop.schedule(0.01, () -> executed.add("second"));
        eventLoop.schedule(0.001, () -> executed.add("first"));
        eventLoop.schedule(0.011, eventLoop::stop);
        eventLoop.run();
        assertEquals(List.of("first", "second"), executed);
    }

    @Test
    void failedCommandInvokesTheFailureHandlerAndTheNextCommandRuns() {
        eventLoop.setHandlers(() -> {}, () -> executed.add("after failure"));
        eventLoop.post(
                () -> {
                    throw new IllegalStateException("expected by the test");
                });
        eventLoop.post(() -> executed.add("next"));
        eventLoop.post(eventLoop::stop);
        eventLoop.run();
        assertEquals(List.of("after failure", "next"), executed);
    }

    @Test
    void schedulingATimerOutsideTheOwnerThreadFails() throws InterruptedException {
        CountDownLatch running = new CountDownLatch(1);
        eventLoop.post(running::countDown);
        Thread owner = new Thread(eventLoop::run);
        owner.start();
        running.await();
        assertThrows(AssertionError.class, () -> eventLoop.schedule(1, () -> {}));
        eventLoop.stop();
        owner.join();
    }
}
