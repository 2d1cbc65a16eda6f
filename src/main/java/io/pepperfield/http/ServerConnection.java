package io.pepperfield.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * State of a server connection. It is the first handler in the pipeline and sees the raw bytes, so
 * that a partial request line counts as a request being received. Confined to the server's event
 * loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

    private static final long RECEIVE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(180);

    /** Phases of a connection, with separate timeouts. */
    private enum State {
        IDLE,
        RECEIVING_REQUEST,
        AWAITING_REPLY
    }

    private final Channel channel;
    private final Set<ServerConnection> openConnections;
    private final PathConnectionLimit pathLimit;
    private State state = State.IDLE;
    private long stateSinceNanos = System.nanoTime();
    private boolean countedByPathLimit;

    /**
     * @param openConnections the server's open connections, which include this one while its
     *     channel is open
     * @param pathLimit the server's path limit, released when this connection closes if counted
     */
    ServerConnection(
            Channel channel, Set<ServerConnection> openConnections, PathConnectionLimit pathLimit) {
        this.channel = channel;
        this.openConnections = openConnections;
        this.pathLimit = pathLimit;
    }

    /** Begins a complete request; returns false if the previous one has no reply yet. */
    boolean beginRequest() {
        if (state == State.AWAITING_REPLY) {
            return false;
        }
        state = State.AWAITING_REPLY;
        return true;
    }

    /** Ends the current request, whose reply is available. */
    void endRequest() {
        state = State.IDLE;
        stateSinceNanos = System.nanoTime();
    }

    /** Whether a request to the path may be served; counts the connection if the limit applies. */
    boolean tryAdmit(String path) {
        if (countedByPathLimit || !pathLimit.appliesTo(path)) {
            return true;
        }
        countedByPathLimit = pathLimit.tryAcquire();
        return countedByPathLimit;
    }

    /** Whether to close after the reply, so that more clients than connections can be served. */
    boolean mustCloseAfterReply() {
        return countedByPathLimit && pathLimit.isNearlyFull();
    }

    /** Closes the connection if a request is received too slowly or the idle timeout has passed. */
    void closeIfExpired(long nowNanos) {
        long elapsed = nowNanos - stateSinceNanos;
        boolean expired =
                switch (state) {
                    case RECEIVING_REQUEST -> elapsed > RECEIVE_TIMEOUT_NANOS;
                    case IDLE -> elapsed > IDLE_TIMEOUT_NANOS;
                    case AWAITING_REPLY -> false;
                };
        if (expired) {
            channel.close();
        }
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        openConnections.add(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object bytes) {
        if (state == State.IDLE) {
            state = State.RECEIVING_REQUEST;
            stateSinceNanos = System.nanoTime();
        }
        ctx.fireChannelRead(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        openConnections.remove(this);
        if (countedByPathLimit) {
            countedByPathLimit = false;
            pathLimit.release();
        }
        ctx.fireChannelInactive();
    }
}
