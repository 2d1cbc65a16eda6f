package io.pepperfield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.config.Settings.Address;
import io.pepperfield.http.Json;
import io.pepperfield.http.Sender;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.StateService.Change;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.StateService.Urgency;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What leaves for the state service while it answers nothing. */
class HttpStateServiceTest {

    private static final String TOUCH = "/grants/7/touch";

    private final SimulatedLoop loop = new SimulatedLoop();
    private final List<String> underWay = new ArrayList<>();
    private int connections;
    private final Sender sender =
            (host, port, most, method, path, body, deadlineMs, done) -> {
                underWay.add(path);
                connections = most;
            };
    private final HttpStateService state =
            new HttpStateService(loop, sender, new Address("10.2.0.1", 2379));

    private void write(Urgency urgency, String key) {
        state.txn(
                urgency,
                List.of(new Guard(key, 0)),
                List.of(Change.set(key, Json.object())),
                result -> {});
    }

    @Test
    void aRenewalFindsAFreeConnectionWhateverElseIsUnderWay() {
        state.share(50, 20, 20);
        loop.run(1);
        // One of each kind is under way at most: the open watch, a confirmation, a reading in
        // pages, submissions, cancellations, the leader's writes, a new token, the end of an
        // earlier grant.
        state.follow(1, 10, result -> {});
        state.follow(1, 0, result -> {});
        state.range("", result -> {});
        write(Urgency.JOB, "pepperfield/job/run-000001");
        write(Urgency.END, "pepperfield/end/run-000001");
        write(Urgency.RUN, "pepperfield/run/run-000001/0");
        write(Urgency.GRANT, "pepperfield/leader");
        state.endGrant(6);
        state.touch(7, result -> {});
        loop.run(2);
        assertTrue(underWay.contains(TOUCH), underWay.toString());
        assertEquals(9, underWay.size(), underWay.toString());
        assertTrue(
                underWay.size() <= connections,
                "the renewal waits behind " + connections + " others");
    }
}
