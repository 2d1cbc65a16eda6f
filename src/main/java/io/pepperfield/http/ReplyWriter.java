package io.pepperfield.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Writes replies as HTTP/1.1 responses. */
final class ReplyWriter {

    private ReplyWriter() {}

    /** Writes a reply; unless {@code keepOpen}, closes the connection after it. */
    static void write(ChannelHandlerContext ctx, HttpReply reply, boolean keepOpen) {
        ChannelFuture written = ctx.writeAndFlush(toResponse(reply, keepOpen));
        if (!keepOpen) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    private static FullHttpResponse toResponse(HttpReply reply, boolean keepOpen) {
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
        if (!keepOpen) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        return response;
    }
}
