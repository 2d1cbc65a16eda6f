package io.pepperfield.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Pooled HTTP/1.1 client. Every request has a deadline that covers waiting for a connection, since
 * a machine without power gives no error; a connection that missed one is closed, so that a late
 * answer cannot be taken for the next.
 */
public final class HttpClient implements Sender {

    private final EventLoop loop;
    private final int mostAnswerBytes;
    private final int mostLines;
    private final Map<String, Pool> pools = new HashMap<>();

    /** All connections that carry nothing at the moment, the longest idle first. */
    private final Set<Line> idleLines = new LinkedHashSet<>();

    private int open;

    /** Creates a client with no limit on its connections; larger answers fail. */
    public HttpClient(EventLoopGroup loops, int mostAnswerBytes) {
        this(loops, mostAnswerBytes, Integer.MAX_VALUE);
    }

    /**
     * @param mostLines connections to all addresses together; beyond them the longest idle one
     *     gives way, or the request
     */
    public HttpClient(EventLoopGroup loops, int mostAnswerBytes, int mostLines) {
        this.loop = loops.next();
        this.mostAnswerBytes = mostAnswerBytes;
        this.mostLines = mostLines;
    }

    /** Makes sure that one more connection stays within the limit. */
    private boolean socketLeft() {
        if (open >= mostLines && !idleLines.isEmpty()) {
            Line eldest = idleLines.iterator().next();
            eldest.pool.retire(eldest);
        }
        return open < mostLines;
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
            Consumer<Outcome> done) {
        Exchange exchange = new Exchange(method, path, body, done);
        loop.execute(
                () -> {
                    exchange.timer =
                            loop.schedule(
                                    () -> exchange.expire(), deadlineMs, TimeUnit.MILLISECONDS);
                    pools.computeIfAbsent(host + ":" + port, k -> new Pool(k, host, port))
                            .submit(exchange, connections);
                });
    }

    /** One request and the connection it is sent on, from its queueing to its outcome. */
    private final class Exchange {
        final String method;
        final String path;
        final byte[] body;
        final Consumer<Outcome> done;
        ScheduledFuture<?> timer;
        Line line;
        boolean sent;
        boolean over;

        Exchange(String method, String path, byte[] body, Consumer<Outcome> done) {
            this.method = method;
            this.path = path;
            this.body = body;
            this.done = done;
        }

        void finish(Outcome outcome) {
            if (!over) {
                over = true;
                timer.cancel(false);
                done.accept(outcome);
            }
        }

        void fail(String why) {
            finish(sent ? new Outcome.NoAnswer(why) : new Outcome.NotSent(why));
        }

        void expire() {
            fail("deadline");
            if (line != null) {
                line.channel.close();
            }
        }
    }

    /** One connection and the exchange it carries. */
    private static final class Line {
        final Pool pool;
        final Channel channel;
        Exchange exchange;
        boolean retired;

        Line(Pool pool, Channel channel) {
            this.pool = pool;
            this.channel = channel;
        }
    }

    /** The connections to one address and the requests that wait for one of them. */
    private final class Pool {
        final String key;
        final String host;
        final int port;
        final ArrayDeque<Line> idle = new ArrayDeque<>();
        final ArrayDeque<Exchange> waiting = new ArrayDeque<>();
        int lines;
        int connecting;

        Pool(String key, String host, int port) {
            this.key = key;
            this.host = host;
            this.port = port;
        }

        void submit(Exchange exchange, int most) {
            Line line = idle.pollLast();
            if (line != null) {
                idleLines.remove(line);
                carry(line, exchange);
                return;
            }
            waiting.add(exchange);
            if (lines < most && connecting < waiting.size()) {
                if (socketLeft()) {
                    connect();
                } else if (lines == 0) {
                    // The sockets that are left belong to users, peers, cloud and state service.
                    waiting.remove(exchange);
                    exchange.fail("no socket left");
                    discardIfUnused();
                }
            }
        }

        /** Closes a connection that carries nothing; its room is free from now on. */
        void retire(Line line) {
            line.retired = true;
            idle.remove(line);
            idleLines.remove(line);
            lines--;
            open--;
            line.channel.close();
            discardIfUnused();
        }

        void connect() {
            lines++;
            open++;
            connecting++;
            Line[] made = new Line[1];
            Bootstrap bootstrap =
                    new Bootstrap()
                            .group(loop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2000)
                            .handler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel channel) {
                                            made[0] = new Line(Pool.this, channel);
                                            channel.pipeline()
                                                    .addLast(
                                                            new HttpClientCodec(),
                                                            new HttpObjectAggregator(
                                                                    mostAnswerBytes),
                                                            new Answers(Pool.this, made[0]));
                                        }
                                    });
            bootstrap
                    .connect(host, port)
                    .addListener(
                            (ChannelFuture future) -> {
                                connecting--;
                                if (future.isSuccess()) {
                                    next(made[0]);
                                } else {
                                    lines--;
                                    open--;
                                    // The others in the queue waited for this very connection; to
                                    // let them hang would cost a deadline each.
                                    ArrayDeque<Exchange> failed = new ArrayDeque<>(waiting);
                                    waiting.clear();
                                    failed.forEach(
                                            e ->
                                                    e.fail(
                                                            "connect: "
                                                                    + future.cause()
                                                                            .getClass()
                                                                            .getSimpleName()));
                                    discardIfUnused();
                                }
                            });
        }

        void next(Line line) {
            Exchange exchange;
            do {
                exchange = waiting.poll();
            } while (exchange != null && exchange.over);
            if (exchange == null) {
                idle.add(line);
                idleLines.add(line);
            } else {
                carry(line, exchange);
            }
        }

        void carry(Line line, Exchange exchange) {
            line.exchange = exchange;
            exchange.line = line;
            exchange.sent = true;
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            HttpMethod.valueOf(exchange.method),
                            exchange.path,
                            exchange.body == null
                                    ? Unpooled.EMPTY_BUFFER
                                    : Unpooled.wrappedBuffer(exchange.body));
            request.headers().set(HttpHeaderNames.HOST, key);
            if (exchange.body != null) {
                request.headers()
                        .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
                request.headers().set(HttpHeaderNames.CONTENT_LENGTH, exchange.body.length);
            }
            line.channel.writeAndFlush(request);
        }

        void lost(Line line) {
            if (line.retired) {
                return;
            }
            lines--;
            open--;
            idle.remove(line);
            idleLines.remove(line);
            if (line.exchange != null) {
                line.exchange.fail("connection lost");
                line.exchange = null;
            }
            waiting.removeIf(e -> e.over);
            if (!waiting.isEmpty() && connecting == 0) {
                connect();
            }
            discardIfUnused();
        }

        /** Machines come and go by the hundred; their pools must not stay behind. */
        void discardIfUnused() {
            if (lines == 0 && waiting.isEmpty()) {
                pools.remove(key, this);
            }
        }
    }

    /** Hands the answers that arrive on a connection to its request. */
    private static final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final Pool pool;
        private final Line line;

        Answers(Pool pool, Line line) {
            this.pool = pool;
            this.line = line;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Exchange exchange = line.exchange;
            line.exchange = null;
            if (exchange == null || response.decoderResult().isFailure()) {
                if (exchange != null) {
                    exchange.fail("malformed answer");
                }
                ctx.close();
                return;
            }
            exchange.finish(
                    new Outcome.Answered(
                            response.status().code(), ByteBufUtil.getBytes(response.content())));
            if (HttpUtil.isKeepAlive(response)) {
                pool.next(line);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            pool.lost(line);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
