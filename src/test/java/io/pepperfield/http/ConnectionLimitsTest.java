package io.pepperfield.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests that one kind of client cannot exhaust the limited sockets needed by others. */
class ConnectionLimitsTest {

    private final EventLoopGroup network =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        network.shutdownGracefully();
    }

    private HttpOutcome send(HttpClient client, int port, String path) {
        CompletableFuture<HttpOutcome> answer = new CompletableFuture<>();
        client.send(
                new OutboundRequest("127.0.0.1", port, 1, "GET", path, null, 5000),
                answer::complete);
        return answer.join();
    }

    private int startServer() throws InterruptedException {
        return new HttpServer(network, 4, (request, answer) -> answer.accept(HttpReply.empty(200)))
                .limitConnections("/beat", 2)
                .start("127.0.0.1", 0);
    }

    private int status(HttpClient client, int port, String path) {
        return ((HttpOutcome.Answered) send(client, port, path)).status();
    }

    @Test
    void workerConnectionsDoNotExhaustUserConnections() throws InterruptedException {
        int port =
                new HttpServer(
                                network,
                                4,
                                (request, answer) -> {
                                    if (!request.path().equals("/beat")) {
                                        answer.accept(HttpReply.empty(200));
                                    }
                                })
                        .limitConnections("/beat", 2)
                        .start("127.0.0.1", 0);
        HttpClient userClient = new HttpClient(network, 1 << 16);
        for (int i = 0; i < 2; i++) {
            new HttpClient(network, 1 << 16)
                    .send(
                            new OutboundRequest("127.0.0.1", port, 1, "GET", "/beat", null, 60_000),
                            outcome -> {});
            assertEquals(200, status(userClient, port, "/up"));
        }
        assertEquals(503, status(new HttpClient(network, 1 << 16), port, "/beat"));
        assertEquals(200, status(userClient, port, "/up"));
    }

    @Test
    void moreWorkersThanConnectionsAreAllServed() throws InterruptedException {
        int port = startServer();
        // Near the limit, connections are closed after the reply. If they were kept open, the first
        // two would block all later workers.
        for (int i = 0; i < 12; i++) {
            assertEquals(200, status(new HttpClient(network, 1 << 16), port, "/beat"));
        }
        assertEquals(200, status(new HttpClient(network, 1 << 16), port, "/up"));
    }

    @Test
    void longestIdleConnectionIsEvictedAtTheLimit() throws InterruptedException {
        HttpClient client = new HttpClient(network, 1 << 16, 1);
        int first = startServer();
        int second = startServer();
        assertEquals(200, status(client, first, "/a"));
        assertEquals(200, status(client, second, "/a"));
        assertEquals(200, status(client, first, "/a"));
    }

    @Test
    void requestFailsImmediatelyIfNoConnectionCanBeEvicted() throws InterruptedException {
        HttpClient client = new HttpClient(network, 1 << 16, 1);
        int unresponsivePort =
                new HttpServer(network, 4, (request, answer) -> {}).start("127.0.0.1", 0);
        int port = startServer();
        client.send(
                new OutboundRequest("127.0.0.1", unresponsivePort, 1, "GET", "/a", null, 60_000),
                outcome -> {});
        assertInstanceOf(HttpOutcome.NotSent.class, send(client, port, "/a"));
    }
}
