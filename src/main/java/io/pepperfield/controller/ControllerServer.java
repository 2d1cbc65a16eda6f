package io.pepperfield.controller;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.pepperfield.cloud.HttpCloudProvider;
import io.pepperfield.config.Feature;
import io.pepperfield.config.QuotaCheck;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.HttpWorkerClient;
import io.pepperfield.http.HttpClient;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.HttpServer;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.PendingQueryLimit;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Peers;
import io.pepperfield.rollout.Release;
import io.pepperfield.rollout.Rollout;
import io.pepperfield.store.HttpKeyValueStore;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller process: its network thread, event loop and HTTP servers. */
public final class ControllerServer {

    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);

    /**
     * Maximum size of a response body. A watch response contains all changes at once; if it would
     * exceed this size, the keys are read in pages instead.
     */
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private static final double BYTES_PER_MIB = 1048576.0;

    private final Settings settings;
    private final Release release;
    private final EventLoop eventLoop = new EventLoop();
    private final EventLoopGroup network =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpServer userServer;
    private HttpServer peerServer;

    /** Creates a controller process that listens only after {@link #start}. */
    public ControllerServer(Settings settings) {
        this(settings, Release.CURRENT);
    }

    /**
     * Creates a controller process that acts as the given release.
     *
     * @param release the release whose stored-state versions are read and written if the rollout is
     *     enabled; null for the current release
     */
    public ControllerServer(Settings settings, Release release) {
        this.settings = settings;
        this.release = release == null ? Release.CURRENT : release;
    }

    private Optional<Rollout> createRollout(HttpKeyValueStore store) {
        if (!settings.operators().isEnabled(Feature.ROLLOUT)) {
            return Optional.empty();
        }
        return Optional.of(new Rollout(eventLoop, settings, store, release));
    }

    /** Starts the servers and returns the port for users and workers. */
    public int start() throws InterruptedException {
        warnOfQuotaShortage();
        HttpClient client = new HttpClient(network, MAX_RESPONSE_BYTES);
        Peers peers = new Peers(eventLoop, settings, client);
        Controller controller = createController(client, peers);
        eventLoop.setHandlers(controller::flush, controller::commandFailed);
        userServer = createUserServer(controller);
        peerServer = createPeerServer(peers);
        int port = userServer.start(settings.bindAddress().host(), settings.bindAddress().port());
        peerServer.start(settings.peerAddress().host(), settings.peerAddress().port());
        eventLoop.post(controller::start);
        LOG.info(
                "listening: controller={} zone={} address={}:{}",
                settings.node(),
                settings.zone(),
                settings.bindAddress().host(),
                port);
        return port;
    }

    private void warnOfQuotaShortage() {
        double memoryMib = Runtime.getRuntime().maxMemory() / BYTES_PER_MIB;
        List<String> shortage =
                QuotaCheck.warnings(settings.deployment().processQuota(), memoryMib);
        if (!shortage.isEmpty()) {
            LOG.warn(
                    "process quotas may be too small for this controller: {}",
                    String.join("; ", shortage));
        }
    }

    private Controller createController(HttpClient client, Peers peers) {
        HttpKeyValueStore store = new HttpKeyValueStore(eventLoop, client, settings.storeAddress());
        Optional<Rollout> rollout = createRollout(store);
        HttpCloudProvider cloud =
                new HttpCloudProvider(
                        eventLoop,
                        client,
                        settings.cloudAddress(),
                        settings.deployment().cloudLimits().requestsPerS());
        ExternalSystems external =
                new ExternalSystems(
                        rollout.map(Rollout::keyValueStore).orElse(store),
                        cloud,
                        createWorkerClient(),
                        peers,
                        new HeartbeatForwarder(eventLoop, client, settings),
                        store::setRates);
        return new Controller(eventLoop, settings, external, rollout);
    }

    private HttpWorkerClient createWorkerClient() {
        int sockets = settings.deployment().processQuota().maxSockets() * 15 / 100;
        return new HttpWorkerClient(
                eventLoop,
                new HttpClient(network, MAX_RESPONSE_BYTES, sockets),
                settings.deployment().workerTimings().heartbeatIntervalS());
    }

    private HttpServer createUserServer(Controller controller) {
        int sockets = settings.deployment().processQuota().maxSockets();
        PendingQueryLimit queryLimiter =
                new PendingQueryLimit(
                        Controller.JOBS_PATH,
                        Controller.maxConcurrentQueries(settings),
                        (request, answer) ->
                                eventLoop.post(() -> handle(controller, request, answer)));
        return new HttpServer(network, sockets * 7 / 10, queryLimiter)
                .limitConnections(Controller.HEARTBEAT_PATH, sockets * 6 / 10);
    }

    private HttpServer createPeerServer(Peers peers) {
        return new HttpServer(
                network,
                settings.deployment().processQuota().maxSockets() / 10,
                4 * HttpServer.DEFAULT_MAX_REQUEST_BYTES,
                (request, answer) -> eventLoop.post(() -> peers.handle(request, answer)));
    }

    private static void handle(
            Controller controller, InboundRequest request, Consumer<HttpReply> answer) {
        try {
            controller.handle(request, answer);
        } catch (RuntimeException e) {
            // Without an answer the client would wait until its time-out, and the request would
            // count against the limit of concurrent queries indefinitely.
            answer.accept(HttpReply.error(500, "an internal error"));
            throw e;
        }
    }

    /** Runs the event loop on the calling thread until {@link #stop} is called. */
    public void run() {
        eventLoop.run();
    }

    /** Closes the servers, stops the event loop and shuts down the network thread. */
    public void stop() {
        userServer.close();
        peerServer.close();
        eventLoop.stop();
        network.shutdownGracefully();
    }
}
