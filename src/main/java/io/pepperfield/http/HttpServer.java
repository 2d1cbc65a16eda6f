package io.pepperfield.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP/1.1 server: whole requests in, one answer each, with limits that keep a bad client from
 * harming the others.
 */
public final class HttpServer {

    public static final int MAX_REQUEST_BYTES = 64 * 1024;
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);
    private static final long RECEIVE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(180);

    /** Called on the network thread; must hand the request on at once. */
    public interface Handler {
        /** Answers a request; {@code answer} is called once, on any thread. */
        void handle(InboundRequest call, Consumer<HttpReply> answer);
    }

    private final EventLoopGroup loops;
    private final Handler handler;
    private final int maxConnections;
    private final int maxRequestBytes;
    private final Set<ServerConnection> openConnections = new HashSet<>();
    private String limitedPath = "";
    private int limitedPathMaxConnections;
    private int limitedPathConnections;
    private boolean limitReported;
    private Channel serverChannel;

    /** Creates a server with the default limit on the size of a request. */
    public HttpServer(EventLoopGroup loops, int mostConnections, Handler handler) {
        this(loops, mostConnections, MAX_REQUEST_BYTES, handler);
    }

    /**
     * @param mostBytes the longest body that is taken
     */
    public HttpServer(EventLoopGroup loops, int mostConnections, int mostBytes, Handler handler) {
        this.loops = loops;
        this.maxConnections = mostConnections;
        this.maxRequestBytes = mostBytes;
        this.handler = handler;
    }

    /**
     * Clients of that path, of which there are many, may hold so many of the connections; the rest
     * is for all others.
     */
    public HttpServer limitConnections(String path, int most) {
        limitedPath = path;
        limitedPathMaxConnections = most;
        return this;
    }

    /**
     * Listens on an address and returns the port, which the system chooses where 0 is asked for.
     */
    public int start(String host, int port) throws InterruptedException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(ChannelOption.SO_BACKLOG, 256)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        if (openConnections.size() >= maxConnections) {
                                            // Beyond this the process would run out of sockets for
                                            // the state service and the workers.
                                            channel.close();
                                            return;
                                        }
                                        ServerConnection connection = new ServerConnection(channel);
                                        channel.pipeline()
                                                .addLast(
                                                        connection,
                                                        new HttpServerCodec(4096, 8192, 8192),
                                                        new BoundedAggregator(maxRequestBytes),
                                                        new RequestHandler(connection));
                                    }
                                });
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

    /**
     * One coarse timer for all connections: ends those that drip a request in or have been idle for
     * minutes.
     */
    private void closeExpiredConnections() {
        long now = System.nanoTime();
        for (ServerConnection connection : openConnections.toArray(new ServerConnection[0])) {
            boolean dripping =
                    connection.receivingRequest
                            && now - connection.stateSinceNanos > RECEIVE_TIMEOUT_NANOS;
            boolean idle =
                    !connection.receivingRequest
                            && !connection.awaitingReply
                            && now - connection.stateSinceNanos > IDLE_TIMEOUT_NANOS;
            if (dripping || idle) {
                connection.channel.close();
            }
        }
    }

    /**
     * Sees the raw bytes first, so that a half-sent request line counts as a request being
     * received.
     */
    private final class ServerConnection extends ChannelInboundHandlerAdapter {
        final Channel channel;
        boolean receivingRequest;
        boolean awaitingReply;
        boolean onLimitedPath;
        long stateSinceNanos = System.nanoTime();

        ServerConnection(Channel channel) {
            this.channel = channel;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext ctx) {
            openConnections.add(this);
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object bytes) {
            if (!receivingRequest && !awaitingReply) {
                receivingRequest = true;
                stateSinceNanos = System.nanoTime();
            }
            ctx.fireChannelRead(bytes);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            openConnections.remove(this);
            limitedPathConnections -= onLimitedPath ? 1 : 0;
            // Said again only after a clear let-up, or each refusal near the limit would be a line.
            limitReported &= limitedPathConnections >= limitedPathMaxConnections * 9 / 10;
            onLimitedPath = false;
            ctx.fireChannelInactive();
        }
    }

    /**
     * Answers 400 where the library would answer 413: the protocol knows one kind of malformed
     * request.
     */
    private static final class BoundedAggregator extends HttpObjectAggregator {
        BoundedAggregator(int mostBytes) {
            super(mostBytes);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
            writeReply(
                    ctx,
                    HttpReply.error(
                            400, "the body is longer than " + maxContentLength() / 1024 + " KiB"),
                    false);
        }
    }

    /** Takes the requests of one connection and sends the answers. */
    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final ServerConnection connection;

        RequestHandler(ServerConnection connection) {
            this.connection = connection;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            connection.receivingRequest = false;
            if (connection.awaitingReply) {
                // A second request before the first answer is pipelining, which the protocol rules
                // out.
                ctx.close();
                return;
            }
            connection.awaitingReply = true;
            boolean keep = HttpUtil.isKeepAlive(request);
            Consumer<HttpReply> answer =
                    reply ->
                            ctx.channel()
                                    .eventLoop()
                                    .execute(
                                            () -> {
                                                connection.awaitingReply = false;
                                                connection.stateSinceNanos = System.nanoTime();
                                                // Near its limit the crowd's connections end with
                                                // each answer: more clients than sockets find their
                                                // turn so.
                                                boolean full =
                                                        connection.onLimitedPath
                                                                && limitedPathConnections
                                                                        > limitedPathMaxConnections
                                                                                * 9
                                                                                / 10;
                                                writeReply(
                                                        ctx,
                                                        reply,
                                                        keep && !reply.closeConnection() && !full);
                                            });
            if (request.decoderResult().isFailure()) {
                writeReply(ctx, HttpReply.error(400, "malformed request"), false);
                return;
            }
            InboundRequest call;
            try {
                call =
                        InboundRequest.of(
                                request.method().name(),
                                request.uri(),
                                ByteBufUtil.getBytes(request.content()));
            } catch (IllegalArgumentException e) {
                answer.accept(HttpReply.error(400, "malformed address"));
                return;
            }
            if (!connection.onLimitedPath && call.path().equals(limitedPath)) {
                if (limitedPathConnections >= limitedPathMaxConnections) {
                    if (!limitReported) {
                        limitReported = true;
                        LOG.warn(
                                "{} connections of {} are as many as this controller can carry: others are refused",
                                limitedPathConnections,
                                limitedPath);
                    }
                    // When one node alone has all workers, its users must still find a connection.
                    answer.accept(
                            HttpReply.unavailable("too many connections").closingConnection());
                    return;
                }
                connection.onLimitedPath = true;
                limitedPathConnections++;
            }
            handler.handle(call, answer);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            // A reset or broken connection concerns nobody else.
            ctx.close();
        }
    }

    private static void writeReply(ChannelHandlerContext ctx, HttpReply reply, boolean keep) {
        ByteBuf body = Unpooled.wrappedBuffer(reply.body());
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(reply.status()), body);
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        if (body.isReadable()) {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
        }
        if (reply.retryAfterS() > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, reply.retryAfterS());
        }
        if (!keep) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var written = ctx.writeAndFlush(response);
        if (!keep) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }
}
