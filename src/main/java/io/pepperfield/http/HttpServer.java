package io.pepperfield.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * HTTP/1.1 server that passes complete requests to a handler and sends one reply each. Its limits
 * keep a misbehaving client from affecting others. All connections share one event loop, to which
 * all state except the handler is confined.
 */
public final class HttpServer {

    /** Default limit on the size of a request body. */
    public static final int DEFAULT_MAX_REQUEST_BYTES = 64 * 1024;

    private static final int MAX_REQUEST_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 8192;
    private static final int LISTEN_BACKLOG = 256;

    /** Handles requests. Called on the network thread, so it must not block. */
    public interface Handler {
        /** Handles a request; {@code answer} must be called exactly once, on any thread. */
        void handle(InboundRequest request, Consumer<HttpReply> answer);
    }

    private final EventLoopGroup eventLoops;
    private final Handler handler;
    private final int maxConnections;
    private final int maxRequestBytes;
    private final Set<ServerConnection> openConnections = new HashSet<>();
    private PathConnectionLimit pathLimit = new PathConnectionLimit("", 0);
    private Channel serverChannel;

    /** Creates a server with the default limit on the size of a request. */
    public HttpServer(EventLoopGroup eventLoops, int maxConnections, Handler handler) {
        this(eventLoops, maxConnections, DEFAULT_MAX_REQUEST_BYTES, handler);
    }

    /**
     * Creates a server; {@link #start} makes it listen.
     *
     * @param eventLoops a group of one event loop
     * @param maxRequestBytes limit on the size of a request body
     */
    public HttpServer(
            EventLoopGroup eventLoops, int maxConnections, int maxRequestBytes, Handler handler) {
        this.eventLoops = eventLoops;
        this.maxConnections = maxConnections;
        this.maxRequestBytes = maxRequestBytes;
        this.handler = handler;
    }

    /**
     * Limits the connections of clients of one path, which are numerous, so that the remaining
     * connections are available to other clients. Must be called before {@link #start}.
     */
    public HttpServer limitConnections(String path, int maxPathConnections) {
        pathLimit = new PathConnectionLimit(path, maxPathConnections);
        return this;
    }

    /** Listens on an address and returns the port; port 0 lets the operating system choose one. */
    public int start(String host, int port) throws InterruptedException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(eventLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ConnectionInitializer());
        serverChannel = bootstrap.bind(new InetSocketAddress(host, port)).sync().channel();
        serverChannel
                .eventLoop()
                .scheduleWithFixedDelay(this::closeExpiredConnections, 1, 1, TimeUnit.SECONDS);
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    /** Stops listening; open connections are left to the event loop. */
    public void close() {
        if (serverChannel != null) {
            serverChannel.close();
        }
    }

    /** Closes expired connections; one periodic scan replaces a timer per connection. */
    private void closeExpiredConnections() {
        long nowNanos = System.nanoTime();
        for (ServerConnection connection : List.copyOf(openConnections)) {
            connection.closeIfExpired(nowNanos);
        }
    }

    /** Sets up accepted connections and closes those above the limit. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

        @Override
        protected void initChannel(SocketChannel channel) {
            if (openConnections.size() >= maxConnections) {
                // Above this limit no sockets would remain for connections to the state service and
                // the workers.
                channel.close();
                return;
            }
            ServerConnection connection = new ServerConnection(channel, openConnections, pathLimit);
            channel.pipeline()
                    .addLast(
                            connection,
                            new HttpServerCodec(
                                    MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
                            new BoundedAggregator(maxRequestBytes),
                            new ServerRequestHandler(connection, handler));
        }
    }
}
