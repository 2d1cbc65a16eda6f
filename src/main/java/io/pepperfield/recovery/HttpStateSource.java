package io.pepperfield.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.http.HttpClient;
import io.pepperfield.http.Outcome;
import io.pepperfield.store.Keys;
import io.pepperfield.store.StateAnswers;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.LockSupport;

/** The state service itself, read from a console with a small part of its request rate. */
public final class HttpStateSource implements StateSource {

    private static final int PAGE = 500;
    private static final long DEADLINE_MS = 5000;
    private static final int TRIES = 10;
    private static final int FORGOTTEN = 410;

    /** The part of the service's requests per second that reading may use. */
    private static final double RATE_SHARE = 0.05;

    private final HttpClient client;
    private final Settings.Address address;
    private final long spacingNanos;

    /**
     * @param requestsPerS what the state service allows all its users together
     */
    public HttpStateSource(HttpClient client, Settings.Address address, double requestsPerS) {
        this.client = client;
        this.address = address;
        this.spacingNanos = Math.round(1e9 / (RATE_SHARE * requestsPerS));
    }

    @Override
    public Page page(String after) throws IOException {
        String since = after.isEmpty() ? "" : "&since=" + after;
        JsonNode body = get("/kv?starts=" + Keys.ROOT + "&limit=" + PAGE + since).json();
        boolean more = body.path("truncated").asBoolean();
        return new Page(StateAnswers.pairs(body), more, revision(body));
    }

    @Override
    public Page changesSince(long revision) throws IOException {
        Outcome.Answered answer =
                get("/follow?starts=" + Keys.ROOT + "&since=" + revision + "&holdMs=0");
        if (answer.status() == FORGOTTEN) {
            throw new ChangesForgotten(revision);
        }
        JsonNode body = answer.json();
        return new Page(StateAnswers.events(body), false, revision(body));
    }

    private static long revision(JsonNode body) throws IOException {
        if (!body.path("generation").isIntegralNumber()) {
            throw new IOException("the state service answers without a revision");
        }
        return body.path("generation").longValue();
    }

    /** Outages and refusals pass: each request is tried a few times. */
    private Outcome.Answered get(String path) throws IOException {
        String trouble = "";
        for (int attempt = 0; attempt < TRIES; attempt++) {
            LockSupport.parkNanos(spacingNanos);
            CompletableFuture<Outcome> outcome = new CompletableFuture<>();
            client.send(
                    address.host(),
                    address.port(),
                    1,
                    "GET",
                    path,
                    null,
                    DEADLINE_MS,
                    outcome::complete);
            if (outcome.join() instanceof Outcome.Answered answer) {
                if (answer.status() == 200 || answer.status() == FORGOTTEN) {
                    return answer;
                }
                trouble = "answers " + answer.status();
            } else {
                trouble = "does not answer";
            }
        }
        throw new IOException("the state service at " + address + " " + trouble);
    }
}
