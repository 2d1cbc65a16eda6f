package io.pepperfield.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.BlockingHttpClient;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.store.KeyValueStoreCodec;
import io.pepperfield.store.Keys;
import java.io.IOException;
import java.util.concurrent.locks.LockSupport;

/** Reads from the state service over HTTP, using a small fraction of its request rate limit. */
public final class HttpSnapshotSource implements SnapshotSource {

    private static final int PAGE_SIZE = 500;
    private static final long DEADLINE_MS = 5000;
    private static final int MAX_ATTEMPTS = 10;
    private static final double NANOS_PER_S = 1e9;
    private static final int OK = 200;
    private static final int GONE = 410;

    /** Fraction of the state service's requests per second that reading may use. */
    private static final double REQUEST_RATE_FRACTION = 0.05;

    private final BlockingHttpClient client;
    private final Settings.Address address;
    private final long requestIntervalNanos;

    /**
     * Creates a source that reads with this client.
     *
     * @param requestsPerS the state service's rate limit for all clients together
     */
    public HttpSnapshotSource(
            BlockingHttpClient client, Settings.Address address, double requestsPerS) {
        this.client = client;
        this.address = address;
        this.requestIntervalNanos =
                Math.round(NANOS_PER_S / (REQUEST_RATE_FRACTION * requestsPerS));
    }

    @Override
    public Page readPage(String after) throws IOException {
        String since = after.isEmpty() ? "" : "&since=" + after;
        JsonNode body = get("/kv?starts=" + Keys.ROOT + "&limit=" + PAGE_SIZE + since).json();
        boolean more = body.path("truncated").asBoolean();
        return new Page(KeyValueStoreCodec.decodePairs(body), more, revision(body));
    }

    @Override
    public Page changesSince(long revision) throws IOException {
        HttpOutcome.Answered answer =
                get("/follow?starts=" + Keys.ROOT + "&since=" + revision + "&holdMs=0");
        if (answer.status() == GONE) {
            throw new ChangesCompactedException(revision);
        }
        JsonNode body = answer.json();
        return new Page(KeyValueStoreCodec.decodeEvents(body), false, revision(body));
    }

    private static long revision(JsonNode body) throws IOException {
        if (!body.path("generation").isIntegralNumber()) {
            throw new IOException("response of the state service has no revision");
        }
        return body.path("generation").longValue();
    }

    /** Sends the request, with retries since outages and rejections may be temporary. */
    private HttpOutcome.Answered get(String path) throws IOException {
        String failure = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            LockSupport.parkNanos(requestIntervalNanos);
            OutboundRequest request =
                    new OutboundRequest(
                            address.host(), address.port(), 1, "GET", path, null, DEADLINE_MS);
            if (client.send(request) instanceof HttpOutcome.Answered answer) {
                if (answer.status() == OK || answer.status() == GONE) {
                    return answer;
                }
                failure = "answered with HTTP status " + answer.status();
            } else {
                failure = "does not answer";
            }
        }
        throw new IOException("the state service at " + address + " " + failure);
    }
}
