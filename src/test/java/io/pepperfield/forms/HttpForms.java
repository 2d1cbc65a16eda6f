package io.pepperfield.forms;

import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.pepperfield.cli.Main;
import io.pepperfield.config.Settings;
import io.pepperfield.http.BlockingHttpClient;
import io.pepperfield.http.HttpClient;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.HttpServer;
import io.pepperfield.http.Json;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.recovery.HttpSnapshotSource;
import io.pepperfield.recovery.SnapshotSource;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.TreeMap;
import picocli.CommandLine;

/** HTTP requests and replies with their headers, and the requests of the commands. */
final class HttpForms {

    private static final String HOST = "127.0.0.1";
    private static final byte[] BODY = "{\"a\":1}".getBytes(StandardCharsets.UTF_8);
    private static final List<String> COMMAND_LINES =
            List.of(
                    "submit FILE",
                    "status run-000412",
                    "cancel run-000412",
                    "nodes",
                    "rollout status",
                    "rollout activate",
                    "rollout activate --to 2 --without a,b --older-releases-retired",
                    "rollout finalize",
                    "rollout rollback");

    private final GoldenFile file;
    private final EventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private volatile HttpReply nextReply;

    private HttpForms(GoldenFile file) {
        this.file = file;
    }

    static void write(GoldenFile file) throws Exception {
        HttpForms forms = new HttpForms(file);
        try {
            forms.writeReplies();
            forms.writeRequests();
            forms.writeCommands();
            forms.writeExports();
        } finally {
            forms.eventLoops.shutdownGracefully();
        }
    }

    private void writeReplies() throws Exception {
        HttpServer server =
                new HttpServer(eventLoops, 8, (request, onReply) -> onReply.accept(nextReply));
        int port = server.start(HOST, 0);
        for (HttpReply reply :
                List.of(
                        HttpReply.json(201, Json.object().put("a", 1)),
                        HttpReply.empty(200),
                        HttpReply.error(404, "no such path"),
                        HttpReply.unavailable("not now", 7),
                        HttpReply.unavailable("not now").withConnectionClose())) {
            nextReply = reply;
            for (String connection : List.of("close", "keep-alive")) {
                file.add("answer to " + connection, exchange(port, connection));
            }
        }
        server.close();
    }

    /**
     * Sends a request and returns the header of the reply, with the body if the connection is
     * closed after it.
     */
    private static String exchange(int port, String connection) throws IOException {
        String request = "GET /a HTTP/1.1\r\nHost: a\r\nConnection: " + connection + "\r\n\r\n";
        try (Socket socket = new Socket(HOST, port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return readUntil(socket, connection.equals("close") ? "" : "\r\n\r\n");
        }
    }

    /**
     * Reads up to the terminator, or to the end of the stream if it is empty. Ports are removed
     * because they differ between runs.
     */
    private static String readUntil(Socket socket, String terminator) throws IOException {
        StringBuilder text = new StringBuilder();
        while (terminator.isEmpty() || !text.toString().endsWith(terminator)) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                break;
            }
            text.append((char) next);
        }
        return text.toString().replace("\r\n", " | ").replaceAll(HOST + ":[0-9]+", HOST);
    }

    private void writeRequests() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName(HOST))) {
            for (String method : List.of("GET", "POST", "DELETE")) {
                byte[] body = method.equals("POST") ? BODY : null;
                new HttpClient(eventLoops, 1 << 16)
                        .send(
                                new OutboundRequest(
                                        HOST,
                                        server.getLocalPort(),
                                        1,
                                        method,
                                        "/a?b=c",
                                        body,
                                        5000),
                                outcome -> {});
                try (Socket socket = server.accept()) {
                    file.add("request", readUntil(socket, body == null ? "\r\n\r\n" : "}"));
                }
            }
        }
    }

    /** Creates a server that adds each request to the file and sends {@link #nextReply}. */
    private HttpServer recordingServer() {
        return new HttpServer(
                eventLoops,
                8,
                (request, onReply) -> {
                    String query =
                            request.query().isEmpty() ? "" : new TreeMap<>(request.query()) + " ";
                    String body = new String(request.body(), StandardCharsets.UTF_8);
                    file.add("asks", request.method() + " " + request.path() + " " + query + body);
                    onReply.accept(nextReply);
                });
    }

    /** Adds the requests that an export of all keys sends to the state service. */
    private void writeExports() throws Exception {
        HttpServer server = recordingServer();
        int port = server.start(HOST, 0);
        BlockingHttpClient client = new BlockingHttpClient(1 << 16);
        SnapshotSource source =
                new HttpSnapshotSource(client, new Settings.Address(HOST, port), 1000);
        nextReply = HttpReply.json(200, GoldenFile.readJsonInput("state-range.json"));
        for (String after : List.of("", "pepperfield/job/run-000001")) {
            add(source.readPage(after));
        }
        nextReply = HttpReply.json(200, GoldenFile.readJsonInput("state-follow.json"));
        add(source.changesSince(16));
        nextReply = HttpReply.empty(410);
        String message =
                assertThrows(IOException.class, () -> source.changesSince(16)).getMessage();
        file.add("refused", message);
        client.close();
        server.close();
    }

    private void add(SnapshotSource.Page page) {
        file.add(
                "page",
                page.items().size()
                        + " up to "
                        + page.revision()
                        + (page.hasMore() ? ", more" : ""));
    }

    private void writeCommands() throws Exception {
        HttpServer server = recordingServer();
        int port = server.start(HOST, 0);
        Path jobFile = Files.write(Files.createTempFile("forms", ".json"), BODY);
        for (String commandLine : COMMAND_LINES) {
            for (HttpReply reply :
                    List.of(HttpReply.json(200, Json.object()), HttpReply.error(409, "no"))) {
                nextReply = reply;
                String[] arguments =
                        (commandLine.replace("FILE", jobFile.toString())
                                        + " --server "
                                        + HOST
                                        + ":"
                                        + port)
                                .split(" ");
                int exitCode = new CommandLine(new Main()).execute(arguments);
                file.add(commandLine + " answered " + reply.status(), "exit code " + exitCode);
            }
        }
        Files.delete(jobFile);
        server.close();
    }
}
