package io.pepperfield.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Sockets are short: nobody may use up those of the others. */
class ConnectionLimitsTest {

    private final EventLoopGroup network =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

    @AfterEach
    void stop() {
        network.shutdownGracefully();
    }

    private HttpOutcome ask(HttpClient client, int port, String path) {
        CompletableFuture<HttpOutcome> answer = new CompletableFuture<>();
        client.send(
                new OutboundRequest("127.0.0.1", port, 1, "GET", path, null, 5000),
                answer::complete);
        return answer.join();
    }

    private int server() throws InterruptedException {
        return new HttpServer(network, 4, (request, answer) -> answer.accept(HttpReply.empty(200)))
                .limitConnections("/beat", 2)
                .start("127.0.0.1", 0);
    }

    private int status(HttpClient client, int port, String path) {
        return ((HttpOutcome.Answered) ask(client, port, path)).status();
    }

    @Test
    void workersLeaveConnectionsToUsers() throws InterruptedException {
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
        HttpClient user = new HttpClient(network, 1 << 16);
        for (int i = 0; i < 2; i++) {
            new HttpClient(network, 1 << 16)
                    .send(
                            new OutboundRequest("127.0.0.1", port, 1, "GET", "/beat", null, 60_000),
                            outcome -> {});
            assertEquals(200, status(user, port, "/up"));
        }
        assertEquals(503, status(new HttpClient(network, 1 << 16), port, "/beat"));
        assertEquals(200, status(user, port, "/up"));
    }

    @Test
    void moreWorkersThanConnectionsFindTheirTurn() throws InterruptedException {
        int port = server();
        // Each ends its connection with the answer once the limit is near; kept open, the first two
        // would hold the rest out.
        for (int i = 0; i < 12; i++) {
            assertEquals(200, status(new HttpClient(network, 1 << 16), port, "/beat"));
        }
        assertEquals(200, status(new HttpClient(network, 1 << 16), port, "/up"));
    }

    @Test
    void theLongestIdleConnectionGivesWay() throws InterruptedException {
        HttpClient client = new HttpClient(network, 1 << 16, 1);
        int first = server();
        int second = server();
        assertEquals(200, status(client, first, "/a"));
        assertEquals(200, status(client, second, "/a"));
        assertEquals(200, status(client, first, "/a"));
    }

    @Test
    void whereNoneIsLeftTheRequestFailsAtOnce() throws InterruptedException {
        HttpClient client = new HttpClient(network, 1 << 16, 1);
        int silent = new HttpServer(network, 4, (request, answer) -> {}).start("127.0.0.1", 0);
        int port = server();
        client.send(
                new OutboundRequest("127.0.0.1", silent, 1, "GET", "/a", null, 60_000),
                outcome -> {});
        assertInstanceOf(HttpOutcome.NotSent.class, ask(client, port, "/a"));
    }
}
