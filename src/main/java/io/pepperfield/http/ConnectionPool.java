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

/** The connections to one address, and the exchanges that wait for one. */
final class ConnectionPool {

    private static final int CONNECT_TIMEOUT_MS = 2000;

    private final EventLoop loop;
    private final ConnectionLimit limit;
    private final int mostAnswerBytes;
    private final String host;
    private final int port;
    private final Consumer<ConnectionPool> unused;
    private final ArrayDeque<Connection> idle = new ArrayDeque<>();
    private final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
    private int connections;
    private int connecting;

    /**
     * @param unused told of this pool when neither connections nor exchanges are left
     */
    ConnectionPool(
            EventLoop loop,
            ConnectionLimit limit,
            int mostAnswerBytes,
            String host,
            int port,
            Consumer<ConnectionPool> unused) {
        this.loop = loop;
        this.limit = limit;
        this.mostAnswerBytes = mostAnswerBytes;
        this.host = host;
        this.port = port;
        this.unused = unused;
    }

    String address() {
        return host + ":" + port;
    }

    /** Sends the exchange over an idle connection, or once one of at most so many is free. */
    void submit(Exchange exchange, int most) {
        Connection connection = idle.pollLast();
        if (connection != null) {
            limit.busy(connection);
            connection.send(exchange);
            return;
        }
        waiting.add(exchange);
        if (connections >= most || connecting >= waiting.size()) {
            return;
        }
        if (limit.makeRoom()) {
            connect();
        } else if (connections == 0) {
            // The sockets that are left belong to users, peers, cloud and state service.
            waiting.remove(exchange);
            exchange.fail("no socket left");
            discardIfUnused();
        }
    }

    private void connect() {
        opened();
        connecting++;
        Initializer initializer = new Initializer();
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(initializer)
                .connect(host, port)
                .addListener((ChannelFuture future) -> connected(future, initializer));
    }

    /** Sets up a new channel, whose connection it then holds. */
    private final class Initializer extends ChannelInitializer<SocketChannel> {

        private Connection connection;

        @Override
        protected void initChannel(SocketChannel channel) {
            connection = new Connection(ConnectionPool.this, channel);
            channel.pipeline()
                    .addLast(
                            new HttpClientCodec(),
                            new HttpObjectAggregator(mostAnswerBytes),
                            connection);
        }
    }

    private void connected(ChannelFuture future, Initializer initializer) {
        connecting--;
        if (future.isSuccess()) {
            free(initializer.connection);
            return;
        }
        closed();
        // The others in the queue waited for this very connection; to let them hang would cost a
        // deadline each.
        ArrayDeque<Exchange> failed = new ArrayDeque<>(waiting);
        waiting.clear();
        String why = "connect: " + future.cause().getClass().getSimpleName();
        failed.forEach(exchange -> exchange.fail(why));
        discardIfUnused();
    }

    /** The connection carries nothing: it takes what waits next, or is idle. */
    void free(Connection connection) {
        Exchange next;
        do {
            next = waiting.poll();
        } while (next != null && next.finished());
        if (next == null) {
            idle.add(connection);
            limit.idle(connection);
        } else {
            connection.send(next);
        }
    }

    /** Closes a connection that carries nothing; its room is free from now on. */
    void retire(Connection connection) {
        remove(connection);
        connection.retire();
        discardIfUnused();
    }

    /**
     * The other side has closed the connection, or this one has after an error.
     *
     * @param unanswered what it carried, or null
     */
    void lost(Connection connection, Exchange unanswered) {
        remove(connection);
        if (unanswered != null) {
            unanswered.fail("connection lost");
        }
        waiting.removeIf(Exchange::finished);
        if (!waiting.isEmpty() && connecting == 0) {
            connect();
        }
        discardIfUnused();
    }

    private void remove(Connection connection) {
        idle.remove(connection);
        limit.busy(connection);
        closed();
    }

    private void opened() {
        connections++;
        limit.opened();
    }

    private void closed() {
        connections--;
        limit.closed();
    }

    /** Machines come and go by the hundred; their pools must not stay behind. */
    private void discardIfUnused() {
        if (connections == 0 && waiting.isEmpty()) {
            unused.accept(this);
        }
    }
}
