package io.pepperfield.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.pepperfield.config.OperatorSettings;
import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsReader;
import io.pepperfield.controller.ControllerServer;
import io.pepperfield.http.HttpClient;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.OutboundRequest;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.jar.JarFile;
import picocli.CommandLine.Command;

/**
 * Run by the build: loads what a controller needs, so that the class-data archive written at the
 * exit holds it.
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

    @Override
    public Integer call() throws Exception {
        Settings settings = SettingsReader.parse("rehearsal", SETTINGS, OperatorSettings.DEFAULTS);
        ControllerServer service = new ControllerServer(settings);
        int port = service.start();
        Thread owner = new Thread(service::run);
        owner.start();
        EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        HttpClient client = new HttpClient(network, 1 << 20);
        for (String path :
                new String[] {"/up", "/api/nodes", "/api/jobs/run-000001", "/agent/beat"}) {
            CompletableFuture<HttpOutcome> done = new CompletableFuture<>();
            byte[] body =
                    path.startsWith("/agent")
                            ? "{\"host\":\"a\",\"shards\":[1.5,true]}"
                                    .getBytes(StandardCharsets.UTF_8)
                            : null;
            client.send(
                    new OutboundRequest(
                            "127.0.0.1", port, 1, body == null ? "GET" : "POST", path, body, 2000),
                    done::complete);
            done.join();
        }
        service.stop();
        owner.join();
        network.shutdownGracefully();
        loadOwnClasses();
        return 0;
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
            for (String name :
                    file.stream()
                            .map(e -> e.getName())
                            .filter(n -> n.endsWith(".class"))
                            .toList()) {
                Class.forName(
                        name.substring(0, name.length() - ".class".length()).replace('/', '.'));
            }
        }
    }
}
