package io.pepperfield.cli;

import io.pepperfield.config.OperatorSettings;
import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsReader;
import io.pepperfield.controller.ControllerServer;
import io.pepperfield.http.BlockingHttpClient;
import io.pepperfield.http.OutboundRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Collections;
import java.util.concurrent.Callable;
import java.util.jar.JarEntry;
import java.util.jar.JarFile;
import picocli.CommandLine.Command;

/**
 * Training run for the JVM's class-data sharing archive, run by the build. Starts a controller,
 * sends a few requests and loads all classes, so that the archive written at exit contains them.
 */
@Command(name = "rehearse", hidden = true)
final class ClassDataTraining implements Callable<Integer> {

    private static final String SETTINGS =
            """
            node = "rehearsal"
            zone = "none"
            bind = "127.0.0.1:0"
            peer_listen = "127.0.0.1:0"
            [endpoints]
            cloud = "127.0.0.1:1"
            state = "127.0.0.1:1"
            [deployment]
            size = 1
            [deployment.workers]
            report_s = 1
            lease_s = 4
            cancel_s = 10
            [deployment.state]
            rps = 100
            write_rps = 100
            value_kb = 8
            txn_ops = 32
            [deployment.cloud]
            rps = 1
            list_lag_s = 1
            [deployment.quota]
            core_share = 1
            mem_mb = 256
            sockets = 256
            """;

    private static final String[] QUERIES = {"/up", "/api/nodes", "/api/jobs/run-000001"};
    private static final String HEARTBEAT = "{\"host\":\"a\",\"shards\":[1.5,true]}";
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final long DEADLINE_MS = 2000;
    private static final String CLASS_SUFFIX = ".class";

    @Override
    public Integer call() throws Exception {
        Settings settings = SettingsReader.parse("rehearsal", SETTINGS, OperatorSettings.DEFAULTS);
        ControllerServer server = new ControllerServer(settings);
        int port = server.start();
        Thread eventLoop = new Thread(server::run);
        eventLoop.start();
        try (BlockingHttpClient client = new BlockingHttpClient(MAX_RESPONSE_BYTES)) {
            for (String path : QUERIES) {
                client.send(request(port, "GET", path, null));
            }
            byte[] heartbeat = HEARTBEAT.getBytes(StandardCharsets.UTF_8);
            client.send(request(port, "POST", "/agent/beat", heartbeat));
        }
        server.stop();
        eventLoop.join();
        loadOwnClasses();
        return ExitCode.SUCCESS;
    }

    private static OutboundRequest request(int port, String method, String path, byte[] body) {
        return new OutboundRequest("127.0.0.1", port, 1, method, path, body, DEADLINE_MS);
    }

    private static void loadOwnClasses() throws Exception {
        Path jar =
                Path.of(
                        ClassDataTraining.class
                                .getProtectionDomain()
                                .getCodeSource()
                                .getLocation()
                                .toURI());
        try (JarFile file = new JarFile(jar.toFile())) {
            for (JarEntry entry : Collections.list(file.entries())) {
                String name = entry.getName();
                if (name.endsWith(CLASS_SUFFIX)) {
                    String className = name.substring(0, name.length() - CLASS_SUFFIX.length());
                    Class.forName(className.replace('/', '.'));
                }
            }
        }
    }
}
