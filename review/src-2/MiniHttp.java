import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A small HTTP/1.1 server with one thread per connection, and a client call. Loopback only. */
final class MiniHttp implements AutoCloseable {

    record Request(String method, String path, Map<String, String> query, byte[] body, int peerPort) {}

    record Response(int status, byte[] body) {}

    interface Handler {
        /** Returns the response, or null to close the connection without one. */
        Response handle(Request request) throws Exception;
    }

    private final ServerSocket server;
    private final Handler handler;

    MiniHttp(int port, Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        Thread acceptor = new Thread(this::accept, "accept-" + port);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return server.getLocalPort();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(null, () -> serve(socket), "http", 256 * 1024);
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (true) {
                String start = line(in);
                if (start == null) {
                    return;
                }
                String[] parts = start.split(" ");
                int length = 0;
                for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                    String lower = header.toLowerCase(Locale.ROOT);
                    if (lower.startsWith("content-length:")) {
                        length = Integer.parseInt(lower.substring(15).trim());
                    }
                }
                byte[] body = in.readNBytes(length);
                if (body.length < length) {
                    return;
                }
                URI uri = URI.create(parts[1]);
                Response response =
                        handler.handle(
                                new Request(parts[0], uri.getPath(), query(uri), body, socket.getPort()));
                if (response == null) {
                    return;
                }
                out.write(encode("HTTP/1.1 " + response.status() + " X", "", response.body()));
                out.flush();
            }
        } catch (Exception e) {
            // A broken connection affects no other one.
        }
    }

    private static byte[] encode(String first, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(
                (first + "\r\n" + headers + "Content-Type: application/json\r\nContent-Length: "
                                + body.length + "\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        return bytes.toByteArray();
    }

    private static Map<String, String> query(URI uri) {
        Map<String, String> query = new LinkedHashMap<>();
        if (uri.getQuery() != null) {
            for (String pair : uri.getQuery().split("&")) {
                int equals = pair.indexOf('=');
                if (equals > 0) {
                    query.put(pair.substring(0, equals), pair.substring(equals + 1));
                }
            }
        }
        return query;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int c = in.read();
            if (c < 0) {
                return null;
            }
            if (c == '\n') {
                String text = bytes.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            bytes.write(c);
        }
    }

    /** Sends one request on a connection of its own; status 0 means no response. */
    static Response call(int port, String method, String path, byte[] body, int timeoutMs) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            long until = System.nanoTime() + timeoutMs * 1_000_000L;
            socket.connect(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), timeoutMs);
            byte[] content = body == null ? new byte[0] : body;
            socket.getOutputStream()
                    .write(
                            encode(
                                    method + " " + path + " HTTP/1.1",
                                    "Host: 127.0.0.1:" + port + "\r\nConnection: close\r\n",
                                    content));
            socket.getOutputStream().flush();
            int left = (int) Math.max(1, (until - System.nanoTime()) / 1_000_000L);
            socket.setSoTimeout(left);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String start = line(in);
            if (start == null) {
                throw new EOFException();
            }
            int status = Integer.parseInt(start.split(" ")[1]);
            int length = 0;
            for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
                String lower = header.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(lower.substring(15).trim());
                }
            }
            return new Response(status, in.readNBytes(length));
        } catch (IOException e) {
            return new Response(0, new byte[0]);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
