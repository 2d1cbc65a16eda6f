package io.pepperfield.store;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.config.Settings.Address;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.Json;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** What leaves for the state service while it answers nothing. */
class HttpKeyValueStoreTest {

    private static final String TOUCH = "/grants/7/touch";

    private final SimulatedLoop loop = new SimulatedLoop();
    private final List<String> underWay = new ArrayList<>();
    private int connections;
    private final HttpSender sender =
            (request, onOutcome) -> {
                underWay.add(request.path());
                connections = request.maxConnections();
            };
    private final HttpKeyValueStore state =
            new HttpKeyValueStore(loop, sender, new Address("10.2.0.1", 2379));

    private void write(RequestPriority urgency, String key) {
        state.compareAndSwap(
                urgency,
                List.of(new Precondition(key, 0)),
                List.of(Mutation.set(key, Json.object())),
                result -> {});
    }

    @Test
    void aGrantRenewalFindsAFreeConnectionWhileAllOtherRequestsArePending() {
        state.setRates(50, 20, 20);
        loop.run(1);
        // One of each kind is under way at most: the open watch, a confirmation, a reading in
        // pages, submissions, cancellations, the leader's writes, a new token, the end of an
        // earlier grant.
        state.watch(1, 10, result -> {});
        state.watch(1, 0, result -> {});
        state.readPage("", result -> {});
        write(RequestPriority.SUBMISSION, "pepperfield/job/run-000001");
        write(RequestPriority.CANCELLATION, "pepperfield/end/run-000001");
        write(RequestPriority.LEADER_WRITE, "pepperfield/run/run-000001/0");
        write(RequestPriority.GRANT, "pepperfield/leader");
        state.revokeGrant(6);
        state.renewGrant(7, result -> {});
        loop.run(2);
        assertTrue(underWay.contains(TOUCH), underWay.toString());
        assertEquals(9, underWay.size(), underWay.toString());
        assertTrue(
                underWay.size() <= connections,
                "the renewal waits behind " + connections + " others");
    }
}
