package io.pepperfield.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.util.ArrayDeque;
import java.util.function.Consumer;

/**
 * The connections to one address, and the exchanges that wait for a connection. Confined to the
 * client's event loop.
 */
final class ConnectionPool {

    private static final int CONNECT_TIMEOUT_MS = 2000;

    private final EventLoop eventLoop;
    private final ConnectionLimit connectionLimit;
    private final int maxResponseBytes;
    private final String host;
    private final int port;
    private final Consumer<ConnectionPool> onUnused;
    private final ArrayDeque<ClientConnection> idleConnections = new ArrayDeque<>();
    private final ArrayDeque<Exchange> waitingExchanges = new ArrayDeque<>();
    private int openConnections;
    private int pendingConnects;

    /**
     * @param onUnused called with this pool when it has neither connections nor exchanges left
     */
    ConnectionPool(
            EventLoop eventLoop,
            ConnectionLimit connectionLimit,
            int maxResponseBytes,
            String host,
            int port,
            Consumer<ConnectionPool> onUnused) {
        this.eventLoop = eventLoop;
        this.connectionLimit = connectionLimit;
        this.maxResponseBytes = maxResponseBytes;
        this.host = host;
        this.port = port;
        this.onUnused = onUnused;
    }

    String address() {
        return host + ":" + port;
    }

    /** Sends the exchange over an idle connection, or queues it until a connection is free. */
    void submit(Exchange exchange) {
        ClientConnection connection = idleConnections.pollLast();
        if (connection != null) {
            connectionLimit.markBusy(connection);
            connection.send(exchange);
            return;
        }
        waitingExchanges.add(exchange);
        if (openConnections >= exchange.request().maxConnections()
                || pendingConnects >= waitingExchanges.size()) {
            return;
        }
        if (connectionLimit.tryFreeSlot()) {
            connect();
        } else if (openConnections == 0) {
            // The remaining sockets are reserved for users, peers, the cloud provider and the state
            // service.
            waitingExchanges.remove(exchange);
            exchange.fail("connection limit reached");
            discardIfUnused();
        }
    }

    private void connect() {
        countOpened();
        pendingConnects++;
        ConnectionInitializer initializer = new ConnectionInitializer();
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(initializer)
                .connect(host, port)
                .addListener((ChannelFuture future) -> handleConnectResult(future, initializer));
    }

    /** Sets up a new channel and keeps a reference to its connection. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

        private ClientConnection connection;

        @Override
        protected void initChannel(SocketChannel channel) {
            connection = new ClientConnection(ConnectionPool.this, channel);
            channel.pipeline()
                    .addLast(
                            new HttpClientCodec(),
                            new HttpObjectAggregator(maxResponseBytes),
                            connection);
        }
    }

    private void handleConnectResult(ChannelFuture future, ConnectionInitializer initializer) {
        pendingConnects--;
        if (future.isSuccess()) {
            release(initializer.connection);
            return;
        }
        countClosed();
        // Fails all queued exchanges, which waited for this connection. Otherwise each would fail
        // only at its deadline.
        ArrayDeque<Exchange> failed = new ArrayDeque<>(waitingExchanges);
        waitingExchanges.clear();
        String reason = "connect: " + future.cause().getClass().getSimpleName();
        failed.forEach(exchange -> exchange.fail(reason));
        discardIfUnused();
    }

    /** Returns a free connection to the pool: sends the next queued exchange or marks it idle. */
    void release(ClientConnection connection) {
        Exchange next;
        do {
            next = waitingExchanges.poll();
        } while (next != null && next.isCompleted());
        if (next == null) {
            idleConnections.add(connection);
            connectionLimit.markIdle(connection);
        } else {
            connection.send(next);
        }
    }

    /** Closes an idle connection; its slot is free immediately. */
    void evict(ClientConnection connection) {
        remove(connection);
        connection.closeEvicted();
        discardIfUnused();
    }

    /**
     * Handles a connection closed by the remote side, or by this client after an error.
     *
     * @param inFlight the exchange in flight on the connection, or null
     */
    void handleConnectionLost(ClientConnection connection, Exchange inFlight) {
        remove(connection);
        if (inFlight != null) {
            inFlight.fail("connection lost");
        }
        waitingExchanges.removeIf(Exchange::isCompleted);
        if (!waitingExchanges.isEmpty() && pendingConnects == 0) {
            connect();
        }
        discardIfUnused();
    }

    private void remove(ClientConnection connection) {
        idleConnections.remove(connection);
        connectionLimit.markBusy(connection);
        countClosed();
    }

    private void countOpened() {
        openConnections++;
        connectionLimit.connectionOpened();
    }

    private void countClosed() {
        openConnections--;
        connectionLimit.connectionClosed();
    }

    /** Discards an unused pool, since hundreds of machines are rented and released over time. */
    private void discardIfUnused() {
        if (openConnections == 0 && waitingExchanges.isEmpty()) {
            onUnused.accept(this);
        }
    }
}
