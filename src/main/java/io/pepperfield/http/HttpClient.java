package io.pepperfield.http;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Pooled HTTP/1.1 client. Every request has a deadline that covers waiting for a connection, since
 * a machine without power gives no error; a connection that missed one is closed, so that a late
 * answer cannot be taken for the next.
 */
public final class HttpClient implements HttpSender {

    private final EventLoop eventLoop;
    private final int maxResponseBytes;
    private final ConnectionLimit connectionLimit;
    private final Map<String, ConnectionPool> pools = new HashMap<>();

    /** A client whose connections nothing but their number for each address bounds. */
    public HttpClient(EventLoopGroup eventLoops, int maxResponseBytes) {
        this(eventLoops, maxResponseBytes, Integer.MAX_VALUE);
    }

    /**
     * Creates a client that runs on one event loop of a group.
     *
     * @param maxConnections to all addresses together; beyond them the longest idle one gives way,
     *     or the request
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
