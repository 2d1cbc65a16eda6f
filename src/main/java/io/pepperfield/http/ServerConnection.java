package io.pepperfield.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * The state of one connection of the server. It is the first handler of its pipeline and sees the
 * raw bytes, so that a half-sent request line counts as a request being received. Confined to the
 * server's event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

    private static final long RECEIVE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(180);

    /** What the connection waits for. */
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
     * @param openConnections of the server; the connection is among them while its channel is open
     * @param pathLimit of the server; told when this connection ends, if it is counted there
     */
    ServerConnection(
            Channel channel, Set<ServerConnection> openConnections, PathConnectionLimit pathLimit) {
        this.channel = channel;
        this.openConnections = openConnections;
        this.pathLimit = pathLimit;
    }

    /** A whole request has arrived; false where the one before is not answered yet. */
    boolean beginRequest() {
        if (state == State.AWAITING_REPLY) {
            return false;
        }
        state = State.AWAITING_REPLY;
        return true;
    }

    /** The reply to the current request is there. */
    void endRequest() {
        state = State.IDLE;
        stateSinceNanos = System.nanoTime();
    }

    /** Whether a request to that path may be served here; counts the connection where it may. */
    boolean tryAdmit(String path) {
        if (countedByPathLimit || !pathLimit.appliesTo(path)) {
            return true;
        }
        countedByPathLimit = pathLimit.tryAcquire();
        return countedByPathLimit;
    }

    /** Whether it is to end with its reply: more clients than connections find their turn so. */
    boolean mustCloseAfterReply() {
        return countedByPathLimit && pathLimit.isNearlyFull();
    }

    /** Closes the connection if a request drips in too slowly, or if it has been idle for long. */
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
