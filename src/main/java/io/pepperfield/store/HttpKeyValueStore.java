package io.pepperfield.store;

import io.pepperfield.config.Settings;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.loop.Loop;
import java.util.List;
import java.util.function.Consumer;

/** HTTP client of the state service, limited to this controller's share of the service's rates. */
public final class HttpKeyValueStore implements KeyValueStore {

    /**
     * One connection for each kind of request that can be in flight at the same time: the long
     * watch, a read index request, a paged read, submissions, cancellations, the leader's writes, a
     * new fencing token, and the revocation and the renewal of a grant. While the service is slow,
     * a renewal that waited for another request's connection would be too late, and the leadership
     * would be lost.
     */
    private static final int MAX_CONNECTIONS = 9;

    /** Maximum number of keys per page. */
    private static final int PAGE_SIZE = 500;

    /**
     * Longer than slow responses of the service, which take a few hundred milliseconds, and shorter
     * than the 2 s for which a user waits.
     */
    private static final double REQUEST_TIMEOUT_S = 1.2;

    private static final double PAGE_TIMEOUT_S = 2 * REQUEST_TIMEOUT_S;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final Runnable NEVER_REJECTED = () -> {};

    private final Loop loop;
    private final HttpSender client;
    private final Settings.Address address;
    private final RateLimiter rateLimiter;

    /** Creates a client that sends nothing before its rates are set by {@link #setRates}. */
    public HttpKeyValueStore(Loop loop, HttpSender client, Settings.Address address) {
        this.loop = loop;
        this.client = client;
        this.address = address;
        this.rateLimiter = new RateLimiter(loop);
    }

    /** Sets this controller's share of the service's rates, all per second. */
    public void setRates(double requestRate, double leaderWriteRate, double userWriteRate) {
        rateLimiter.setRates(requestRate, leaderWriteRate, userWriteRate);
    }

    @Override
    public void compareAndSwap(
            RequestPriority priority,
            List<Precondition> preconditions,
            List<Mutation> mutations,
            Consumer<CompareAndSwapOutcome> done) {
        byte[] body = KeyValueStoreCodec.encodeTransaction(preconditions, mutations);
        Request request = new Request("POST", "/txn", body, REQUEST_TIMEOUT_S);
        rateLimiter.submit(
                priority,
                mutations.size(),
                REQUEST_TIMEOUT_S,
                () ->
                        send(
                                request,
                                outcome ->
                                        done.accept(
                                                KeyValueStoreCodec.decodeTransactionOutcome(
                                                        outcome))),
                () -> done.accept(new CompareAndSwapOutcome.Refused(STATUS_TOO_MANY_REQUESTS)));
    }

    @Override
    public void readPage(String after, Consumer<ReadResult> done) {
        String startParameter = after.isEmpty() ? "" : "&since=" + after;
        String path = "/kv?starts=" + Keys.ROOT + "&limit=" + PAGE_SIZE + startParameter;
        read(
                new Request("GET", path, null, PAGE_TIMEOUT_S),
                outcome -> done.accept(KeyValueStoreCodec.decodePage(outcome)),
                done);
    }

    @Override
    public void watch(long since, double holdS, Consumer<ReadResult> done) {
        long holdMs = Math.round(holdS * 1000);
        String path = "/follow?starts=" + Keys.ROOT + "&since=" + since + "&holdMs=" + holdMs;
        read(
                new Request("GET", path, null, holdS + REQUEST_TIMEOUT_S),
                outcome -> done.accept(KeyValueStoreCodec.decodeChanges(outcome)),
                done);
    }

    private void read(Request request, Consumer<HttpOutcome> done, Consumer<ReadResult> rejected) {
        rateLimiter.submit(
                RequestPriority.READ,
                0,
                REQUEST_TIMEOUT_S,
                () -> send(request, done),
                () -> rejected.accept(new ReadResult.Failed()));
    }

    @Override
    public void createGrant(double ttlS, Consumer<GrantOutcome> done) {
        byte[] body = KeyValueStoreCodec.encodeGrantRequest(ttlS);
        sendUnthrottled(
                new Request("POST", "/grants", body, REQUEST_TIMEOUT_S),
                outcome -> done.accept(KeyValueStoreCodec.decodeCreatedGrant(outcome)));
    }

    @Override
    public void renewGrant(long id, Consumer<GrantOutcome> done) {
        String path = "/grants/" + id + "/touch";
        sendUnthrottled(
                new Request("POST", path, EMPTY_BODY, REQUEST_TIMEOUT_S),
                outcome -> done.accept(KeyValueStoreCodec.decodeRenewedGrant(id, outcome)));
    }

    @Override
    public void revokeGrant(long id) {
        sendUnthrottled(
                new Request("DELETE", "/grants/" + id, null, REQUEST_TIMEOUT_S), outcome -> {});
    }

    /** Sends a grant request, which the rate limiter counts but never delays. */
    private void sendUnthrottled(Request request, Consumer<HttpOutcome> done) {
        rateLimiter.submit(RequestPriority.GRANT, 0, 0, () -> send(request, done), NEVER_REJECTED);
    }

    private void send(Request request, Consumer<HttpOutcome> done) {
        client.send(
                new OutboundRequest(
                        address.host(),
                        address.port(),
                        MAX_CONNECTIONS,
                        request.method,
                        request.path,
                        request.body,
                        Math.round(request.timeoutS * 1000)),
                outcome -> loop.post(() -> done.accept(outcome)));
    }

    /**
     * @param body null for a request without a body
     * @param timeoutS seconds after which the request counts as unanswered
     */
    private record Request(String method, String path, byte[] body, double timeoutS) {}
}
