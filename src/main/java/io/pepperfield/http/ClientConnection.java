package io.pepperfield.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/** A pooled connection and its current exchange. Confined to the client's event loop. */
final class ClientConnection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private final ConnectionPool pool;
    private final Channel channel;
    private Exchange exchange;
    private boolean evicted;

    ClientConnection(ConnectionPool pool, Channel channel) {
        this.pool = pool;
        this.channel = channel;
    }

    ConnectionPool pool() {
        return pool;
    }

    void send(Exchange next) {
        exchange = next;
        next.assignConnection(this);
        channel.writeAndFlush(toHttpRequest(next.request()));
    }

    private FullHttpRequest toHttpRequest(OutboundRequest request) {
        byte[] body = request.body();
        ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(body);
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(request.method()),
                        request.path(),
                        content);
        message.headers().set(HttpHeaderNames.HOST, pool.address());
        if (body != null) {
            message.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return message;
    }

    void close() {
        channel.close();
    }

    /** Closes the idle connection after the pool has removed it and updated its counters. */
    void closeEvicted() {
        evicted = true;
        channel.close();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
        Exchange completed = exchange;
        exchange = null;
        if (completed == null || response.decoderResult().isFailure()) {
            if (completed != null) {
                completed.fail("malformed response");
            }
            ctx.close();
            return;
        }
        completed.complete(
                new HttpOutcome.Answered(
                        response.status().code(), ByteBufUtil.getBytes(response.content())));
        if (HttpUtil.isKeepAlive(response)) {
            pool.release(this);
        } else {
            ctx.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (evicted) {
            return;
        }
        Exchange inFlight = exchange;
        exchange = null;
        pool.handleConnectionLost(this, inFlight);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
