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

/** The state service itself, read from a console with a small part of its request rate. */
public final class HttpSnapshotSource implements SnapshotSource {

    private static final int PAGE_SIZE = 500;
    private static final long DEADLINE_MS = 5000;
    private static final int MAX_ATTEMPTS = 10;
    private static final double NANOS_PER_S = 1e9;
    private static final int OK = 200;
    private static final int GONE = 410;

    /** The part of the service's requests per second that reading may use. */
    private static final double RATE_SHARE = 0.05;

    private final BlockingHttpClient client;
    private final Settings.Address address;
    private final long spacingNanos;

    /**
     * Creates a source that reads with this client.
     *
     * @param requestsPerS what the state service allows all its users together
     */
    public HttpSnapshotSource(
            BlockingHttpClient client, Settings.Address address, double requestsPerS) {
        this.client = client;
        this.address = address;
        this.spacingNanos = Math.round(NANOS_PER_S / (RATE_SHARE * requestsPerS));
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
            throw new IOException("the state service answers without a revision");
        }
        return body.path("generation").longValue();
    }

    /** Outages and refusals pass: each request is tried a few times. */
    private HttpOutcome.Answered get(String path) throws IOException {
        String failure = "";
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            LockSupport.parkNanos(spacingNanos);
            OutboundRequest request =
                    new OutboundRequest(
                            address.host(), address.port(), 1, "GET", path, null, DEADLINE_MS);
            if (client.send(request) instanceof HttpOutcome.Answered answer) {
                if (answer.status() == OK || answer.status() == GONE) {
                    return answer;
                }
                failure = "answers " + answer.status();
            } else {
                failure = "does not answer";
            }
        }
        throw new IOException("the state service at " + address + " " + failure);
    }
}
