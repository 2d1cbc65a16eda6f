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

/** Requests and answers with their headers, and what the console's commands ask a controller. */
final class HttpForms {

    private static final String HOST = "127.0.0.1";
    private static final byte[] BODY = "{\"a\":1}".getBytes(StandardCharsets.UTF_8);
    private static final List<String> COMMANDS =
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
    private final EventLoopGroup network =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private volatile HttpReply answer;

    private HttpForms(GoldenFile file) {
        this.file = file;
    }

    static void write(GoldenFile file) throws Exception {
        HttpForms forms = new HttpForms(file);
        try {
            forms.answers();
            forms.requests();
            forms.commands();
            forms.exports();
        } finally {
            forms.network.shutdownGracefully();
        }
    }

    private void answers() throws Exception {
        HttpServer server = new HttpServer(network, 8, (call, told) -> told.accept(answer));
        int port = server.start(HOST, 0);
        for (HttpReply reply :
                List.of(
                        HttpReply.json(201, Json.object().put("a", 1)),
                        HttpReply.empty(200),
                        HttpReply.error(404, "no such path"),
                        HttpReply.unavailable("not now", 7),
                        HttpReply.unavailable("not now").withConnectionClose())) {
            answer = reply;
            for (String connection : List.of("close", "keep-alive")) {
                file.add("answer to " + connection, ask(port, connection));
            }
        }
        server.close();
    }

    /** The header of the answer, and its body where the connection ends with it. */
    private static String ask(int port, String connection) throws IOException {
        String request = "GET /a HTTP/1.1\r\nHost: a\r\nConnection: " + connection + "\r\n\r\n";
        try (Socket socket = new Socket(HOST, port)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return read(socket, connection.equals("close") ? "" : "\r\n\r\n");
        }
    }

    /** Reads up to that end, or all where it is empty; without the ports, which differ. */
    private static String read(Socket socket, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (end.isEmpty() || !text.toString().endsWith(end)) {
            int next = socket.getInputStream().read();
            if (next < 0) {
                break;
            }
            text.append((char) next);
        }
        return text.toString().replace("\r\n", " | ").replaceAll(HOST + ":[0-9]+", HOST);
    }

    private void requests() throws IOException {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getByName(HOST))) {
            for (String method : List.of("GET", "POST", "DELETE")) {
                byte[] body = method.equals("POST") ? BODY : null;
                new HttpClient(network, 1 << 16)
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
                    file.add("request", read(socket, body == null ? "\r\n\r\n" : "}"));
                }
            }
        }
    }

    /** Adds what it is asked, and gives the answer of the moment. */
    private HttpServer recordingServer() {
        return new HttpServer(
                network,
                8,
                (call, told) -> {
                    String query = call.query().isEmpty() ? "" : new TreeMap<>(call.query()) + " ";
                    String body = new String(call.body(), StandardCharsets.UTF_8);
                    file.add("asks", call.method() + " " + call.path() + " " + query + body);
                    told.accept(answer);
                });
    }

    /** What the export of all keys asks the state service. */
    private void exports() throws Exception {
        HttpServer server = recordingServer();
        int port = server.start(HOST, 0);
        BlockingHttpClient client = new BlockingHttpClient(1 << 16);
        SnapshotSource source =
                new HttpSnapshotSource(client, new Settings.Address(HOST, port), 1000);
        answer = HttpReply.json(200, GoldenFile.readJsonInput("state-range.json"));
        for (String after : List.of("", "pepperfield/job/run-000001")) {
            add(source.readPage(after));
        }
        answer = HttpReply.json(200, GoldenFile.readJsonInput("state-follow.json"));
        add(source.changesSince(16));
        answer = HttpReply.empty(410);
        String why = assertThrows(IOException.class, () -> source.changesSince(16)).getMessage();
        file.add("refused", why);
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

    private void commands() throws Exception {
        HttpServer server = recordingServer();
        int port = server.start(HOST, 0);
        Path job = Files.write(Files.createTempFile("forms", ".json"), BODY);
        for (String command : COMMANDS) {
            for (HttpReply reply :
                    List.of(HttpReply.json(200, Json.object()), HttpReply.error(409, "no"))) {
                answer = reply;
                String[] arguments =
                        (command.replace("FILE", job.toString()) + " --server " + HOST + ":" + port)
                                .split(" ");
                int code = new CommandLine(new Main()).execute(arguments);
                file.add(command + " answered " + reply.status(), "exit code " + code);
            }
        }
        Files.delete(job);
        server.close();
    }
}
