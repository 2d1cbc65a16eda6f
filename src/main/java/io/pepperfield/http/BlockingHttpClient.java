package io.pepperfield.http;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * HTTP client that blocks until the outcome of each request is known, with its own network thread.
 * Used by the command line.
 */
public final class BlockingHttpClient implements AutoCloseable {

    private static final long MAX_SHUTDOWN_MS = 100;

    private final EventLoopGroup network =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client;

    /** Starts the network thread, which {@link #close} stops. */
    public BlockingHttpClient(int maxResponseBytes) {
        client = new HttpClient(network, maxResponseBytes);
    }

    /** Sends a request and blocks until its outcome is known or its deadline has passed. */
    public HttpOutcome send(OutboundRequest request) {
        CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
        client.send(request, outcome::complete);
        return outcome.join();
    }

    @Override
    public void close() {
        network.shutdownGracefully(0, MAX_SHUTDOWN_MS, TimeUnit.MILLISECONDS);
    }
}
