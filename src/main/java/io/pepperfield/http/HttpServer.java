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
 * HTTP/1.1 server: whole requests in, one reply each, with limits that keep a bad client from
 * harming the others. Its connections share one event loop: all state but the handler is confined
 * to it.
 */
public final class HttpServer {

    /** The longest body that is taken where the creator asks for no other bound. */
    public static final int DEFAULT_MAX_REQUEST_BYTES = 64 * 1024;

    private static final int MAX_REQUEST_LINE_BYTES = 4096;
    private static final int MAX_HEADER_BYTES = 8192;
    private static final int MAX_CHUNK_BYTES = 8192;
    private static final int LISTEN_BACKLOG = 256;

    /** Called on the network thread; must hand the request on at once. */
    public interface Handler {
        /** Answers a request; {@code answer} is called once, on any thread. */
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
     * Creates a server that does not listen yet.
     *
     * @param eventLoops a group of one event loop
     * @param maxRequestBytes the longest body that is taken
     */
    public HttpServer(
            EventLoopGroup eventLoops, int maxConnections, int maxRequestBytes, Handler handler) {
        this.eventLoops = eventLoops;
        this.maxConnections = maxConnections;
        this.maxRequestBytes = maxRequestBytes;
        this.handler = handler;
    }

    /**
     * Bounds the connections of one path's clients, of which there are many; the rest is for all
     * others. To be called before {@link #start}.
     */
    public HttpServer limitConnections(String path, int maxPathConnections) {
        pathLimit = new PathConnectionLimit(path, maxPathConnections);
        return this;
    }

    /**
     * Listens on an address and returns the port, which the system chooses where 0 is asked for.
     */
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

    /** One coarse timer for all connections, instead of one for each. */
    private void closeExpiredConnections() {
        long nowNanos = System.nanoTime();
        for (ServerConnection connection : List.copyOf(openConnections)) {
            connection.closeIfExpired(nowNanos);
        }
    }

    /** Sets up accepted connections, as far as the bound allows. */
    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {

        @Override
        protected void initChannel(SocketChannel channel) {
            if (openConnections.size() >= maxConnections) {
                // Beyond this the process would run out of sockets for the state service and the
                // workers.
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
