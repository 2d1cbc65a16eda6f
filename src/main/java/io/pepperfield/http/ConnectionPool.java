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
 * The connections to one address, and the exchanges that wait for one. Confined to the client's
 * event loop.
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
     * @param onUnused told of this pool when neither connections nor exchanges are left
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

    /** Sends the exchange over an idle connection, or once one is free. */
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
            // The sockets that are left belong to users, peers, cloud and state service.
            waitingExchanges.remove(exchange);
            exchange.fail("no socket left");
            discardIfUnused();
        }
    }

    private void connect() {
        connectionOpened();
        pendingConnects++;
        ConnectionInitializer initializer = new ConnectionInitializer();
        new Bootstrap()
                .group(eventLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(initializer)
                .connect(host, port)
                .addListener((ChannelFuture future) -> connected(future, initializer));
    }

    /** Sets up a new channel, whose connection it then holds. */
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

    private void connected(ChannelFuture future, ConnectionInitializer initializer) {
        pendingConnects--;
        if (future.isSuccess()) {
            release(initializer.connection);
            return;
        }
        connectionClosed();
        // The others in the queue waited for this very connection; to let them hang would cost a
        // deadline each.
        ArrayDeque<Exchange> failed = new ArrayDeque<>(waitingExchanges);
        waitingExchanges.clear();
        String reason = "connect: " + future.cause().getClass().getSimpleName();
        failed.forEach(exchange -> exchange.fail(reason));
        discardIfUnused();
    }

    /** The connection carries nothing: it takes what waits next, or is idle. */
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

    /** Closes a connection that carries nothing; its room is free from now on. */
    void evict(ClientConnection connection) {
        remove(connection);
        connection.closeEvicted();
        discardIfUnused();
    }

    /**
     * The other side has closed the connection, or this one has after an error.
     *
     * @param unanswered what it carried, or null
     */
    void handleConnectionLost(ClientConnection connection, Exchange unanswered) {
        remove(connection);
        if (unanswered != null) {
            unanswered.fail("connection lost");
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
        connectionClosed();
    }

    private void connectionOpened() {
        openConnections++;
        connectionLimit.connectionOpened();
    }

    private void connectionClosed() {
        openConnections--;
        connectionLimit.connectionClosed();
    }

    /** Machines come and go by the hundred; their pools must not stay behind. */
    private void discardIfUnused() {
        if (openConnections == 0 && waitingExchanges.isEmpty()) {
            onUnused.accept(this);
        }
    }
}
