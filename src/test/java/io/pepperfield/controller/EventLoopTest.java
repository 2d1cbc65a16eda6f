package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** In which order commands and timers run, and on which thread. */
class EventLoopTest {

    private final EventLoop eventLoop = new EventLoop();
    private final List<String> ran = new ArrayList<>();

    @Test
    void commandsOfABatchRunInOrderBeforeASingleAfterBatchCall() {
        eventLoop.setHandlers(() -> ran.add("after batch"), () -> ran.add("after failure"));
        eventLoop.post(() -> ran.add("first"));
        eventLoop.post(() -> ran.add("second"));
        eventLoop.post(eventLoop::stop);
        eventLoop.run();
        assertEquals(List.of("first", "second", "after batch"), ran);
    }

    @Test
    void timersRunInOrderOfTheirDueTimes() {
        eventLoop.schedule(0.01, () -> ran.add("second"));
        eventLoop.schedule(0.001, () -> ran.add("first"));
        eventLoop.schedule(0.011, eventLoop::stop);
        eventLoop.run();
        assertEquals(List.of("first", "second"), ran);
    }

    @Test
    void failedCommandInvokesTheFailureHandlerAndTheNextCommandRuns() {
        eventLoop.setHandlers(() -> {}, () -> ran.add("after failure"));
        eventLoop.post(
                () -> {
                    throw new IllegalStateException("expected by the test");
                });
        eventLoop.post(() -> ran.add("next"));
        eventLoop.post(eventLoop::stop);
        eventLoop.run();
        assertEquals(List.of("after failure", "next"), ran);
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
