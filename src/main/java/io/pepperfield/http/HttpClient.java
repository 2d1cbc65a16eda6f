package io.pepperfield.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Pooled HTTP/1.1 client. Every request has a deadline, which includes the wait for a connection,
 * since a powered-off machine returns no error. A connection whose request misses its deadline is
 * closed, so that a late response cannot be matched to the next request.
 */
public final class HttpClient implements HttpSender {

    private final EventLoop eventLoop;
    private final int maxResponseBytes;
    private final ConnectionLimit connectionLimit;
    private final Map<String, ConnectionPool> pools = new HashMap<>();

    /** Creates a client that limits connections per address only, not in total. */
    public HttpClient(EventLoopGroup eventLoops, int maxResponseBytes) {
        this(eventLoops, maxResponseBytes, Integer.MAX_VALUE);
    }

    /**
     * Creates a client that runs on one event loop of a group.
     *
     * @param maxConnections limit on the connections to all addresses together; at the limit the
     *     longest idle connection is closed, or the request fails if none is idle
     */
    public HttpClient(EventLoopGroup eventLoops, int maxResponseBytes, int maxConnections) {
        this.eventLoop = eventLoops.next();
        this.maxResponseBytes = maxResponseBytes;
        this.connectionLimit = new ConnectionLimit(maxConnections);
    }

    /** May be called on any thread; the outcome arrives on the event loop. */
    @Override
    public void send(OutboundRequest request, Consumer<HttpOutcome> onOutcome) {
        Exchange exchange = new Exchange(request, onOutcome);
        eventLoop.execute(() -> submit(exchange));
    }

    private void submit(Exchange exchange) {
        OutboundRequest request = exchange.request();
        exchange.setDeadlineTimer(
                eventLoop.schedule(exchange::expire, request.deadlineMs(), TimeUnit.MILLISECONDS));
        pools.computeIfAbsent(request.address(), address -> createPool(request)).submit(exchange);
    }

    private ConnectionPool createPool(OutboundRequest request) {
        return new ConnectionPool(
                eventLoop,
                connectionLimit,
                maxResponseBytes,
                request.host(),
                request.port(),
                unused -> pools.remove(unused.address(), unused));
    }
}
