package io.pepperfield.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Aggregates a request and its body up to a maximum size. Replies to a larger request with status
 * 400 instead of Netty's 413, since the protocol uses 400 for every malformed request.
 */
final class BoundedAggregator extends HttpObjectAggregator {

    BoundedAggregator(int maxRequestBytes) {
        super(maxRequestBytes);
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) {
        ReplyWriter.write(
                ctx,
                HttpReply.error(
                        400, "the body is longer than " + maxContentLength() / 1024 + " KiB"),
                false);
    }
}
