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

/** Checks the requests that are sent while the state service does not respond. */
class HttpKeyValueStoreTest {

    private static final String RENEWAL_PATH = "/grants/7/touch";

    private final SimulatedLoop loop = new SimulatedLoop();
    private final List<String> sentPaths = new ArrayList<>();
    private int connections;
    private final HttpSender sender =
            (request, onOutcome) -> {
                sentPaths.add(request.path());
                connections = request.maxConnections();
            };
    private final HttpKeyValueStore store =
            new HttpKeyValueStore(loop, sender, new Address("10.2.0.1", 2379));

    private void write(RequestPriority priority, String key) {
        store.compareAndSwap(
                priority,
                List.of(new Precondition(key, 0)),
                List.of(Mutation.set(key, Json.object())),
                result -> {});
    }

    @Test
    void aGrantRenewalFindsAFreeConnectionWhileAllOtherRequestsArePending() {
        store.setRates(50, 20, 20);
        loop.run(1);
        // At most one request of each kind is in flight: the long watch, a read index request, a
        // paged read, a submission, a cancellation, a leader write, a new fencing token, the
        // revocation of an earlier grant.
        store.watch(1, 10, result -> {});
        store.watch(1, 0, result -> {});
        store.readPage("", result -> {});
        write(RequestPriority.SUBMISSION, "pepperfield/job/run-000001");
        write(RequestPriority.CANCELLATION, "pepperfield/end/run-000001");
        write(RequestPriority.LEADER_WRITE, "pepperfield/run/run-000001/0");
        write(RequestPriority.GRANT, "pepperfield/leader");
        store.revokeGrant(6);
        store.renewGrant(7, result -> {});
        loop.run(2);
        assertTrue(sentPaths.contains(RENEWAL_PATH), sentPaths.toString());
        assertEquals(9, sentPaths.size(), sentPaths.toString());
        assertTrue(
                sentPaths.size() <= connections,
                "only " + connections + " connections, the renewal is queued");
    }
}
