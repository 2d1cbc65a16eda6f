package io.pepperfield.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Optional;
import java.util.function.Consumer;

/** Passes the requests of one connection to the handler and writes the replies. */
final class ServerRequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final ServerConnection connection;
    private final HttpServer.Handler handler;

    ServerRequestHandler(ServerConnection connection, HttpServer.Handler handler) {
        this.connection = connection;
        this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        if (!connection.beginRequest()) {
            // A second request before the first reply is pipelining, which is not supported.
            ctx.close();
            return;
        }
        if (request.decoderResult().isFailure()) {
            ReplyWriter.write(ctx, HttpReply.error(400, "malformed request"), false);
            return;
        }
        Consumer<HttpReply> answer = answerOnEventLoop(ctx, HttpUtil.isKeepAlive(request));
        Optional<InboundRequest> inbound = parse(request);
        if (inbound.isEmpty()) {
            answer.accept(HttpReply.error(400, "malformed address"));
        } else if (!connection.tryAdmit(inbound.get().path())) {
            // Keeps connections available for users when a single node serves all workers.
            answer.accept(HttpReply.unavailable("too many connections").withConnectionClose());
        } else {
            handler.handle(inbound.get(), answer);
        }
    }

    private static Optional<InboundRequest> parse(FullHttpRequest request) {
        byte[] body = ByteBufUtil.getBytes(request.content());
        try {
            return Optional.of(InboundRequest.of(request.method().name(), request.uri(), body));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Accepts the reply on any thread and writes it on the connection's event loop. */
    private Consumer<HttpReply> answerOnEventLoop(ChannelHandlerContext ctx, boolean keepAlive) {
        return reply -> ctx.channel().eventLoop().execute(() -> writeReply(ctx, reply, keepAlive));
    }

    private void writeReply(ChannelHandlerContext ctx, HttpReply reply, boolean keepAlive) {
        connection.endRequest();
        boolean keepOpen =
                keepAlive && !reply.closeConnection() && !connection.mustCloseAfterReply();
        ReplyWriter.write(ctx, reply, keepOpen);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        // A reset or broken connection affects no other connection.
        ctx.close();
    }
}
