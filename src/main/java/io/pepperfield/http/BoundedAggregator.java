package io.pepperfield.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;

/**
 * Collects a request with its body up to a bound. Answers 400 where the library would answer 413:
 * the protocol knows one kind of malformed request.
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
