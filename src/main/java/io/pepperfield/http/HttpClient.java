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

    private final EventLoop loop;
    private final int maxResponseBytes;
    private final ConnectionLimit limit;
    private final Map<String, ConnectionPool> pools = new HashMap<>();

    /** A client whose connections nothing but their number for each address bounds. */
    public HttpClient(EventLoopGroup loops, int mostAnswerBytes) {
        this(loops, mostAnswerBytes, Integer.MAX_VALUE);
    }

    /**
     * @param mostConnections to all addresses together; beyond them the longest idle one gives way,
     *     or the request
     */
    public HttpClient(EventLoopGroup loops, int mostAnswerBytes, int mostConnections) {
        this.loop = loops.next();
        this.maxResponseBytes = mostAnswerBytes;
        this.limit = new ConnectionLimit(mostConnections);
    }

    @Override
    public void send(
            String host,
            int port,
            int connections,
            String method,
            String path,
            byte[] body,
            long deadlineMs,
            Consumer<HttpOutcome> done) {
        Exchange exchange = new Exchange(method, path, body, done);
        loop.execute(() -> submit(exchange, host, port, connections, deadlineMs));
    }

    private void submit(
            Exchange exchange, String host, int port, int connections, long deadlineMs) {
        exchange.deadlineTimer(loop.schedule(exchange::expire, deadlineMs, TimeUnit.MILLISECONDS));
        pools.computeIfAbsent(host + ":" + port, address -> pool(address, host, port))
                .submit(exchange, connections);
    }

    private ConnectionPool pool(String address, String host, int port) {
        return new ConnectionPool(
                loop, limit, maxResponseBytes, host, port, unused -> pools.remove(address, unused));
    }
}
