package io.pepperfield.controller;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.pepperfield.cloud.HttpCloudProvider;
import io.pepperfield.config.Feature;
import io.pepperfield.config.QuotaShortage;
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
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller process: a network thread, the event loop, and the slices wired to both. */
public final class ControllerServer {

    private static final Logger LOG = LoggerFactory.getLogger(ControllerServer.class);

    /** A follow holds all changes at once; beyond this the keys are read in pages instead. */
    private static final int MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

    private final Settings settings;
    private final Release release;
    private final EventLoop eventLoop = new EventLoop();
    private final EventLoopGroup network =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpServer userServer;
    private HttpServer peerServer;

    /** Creates a controller's process; it listens from {@link #start} on. */
    public ControllerServer(Settings settings) {
        this(settings, null);
    }

    /**
     * Creates a controller's process of another release than this one.
     *
     * @param release what it reads and writes if the rollout is switched on; null for this release
     */
    public ControllerServer(Settings settings, Release release) {
        this.settings = settings;
        this.release = release;
    }

    private Rollout rollout(HttpKeyValueStore state) {
        if (!settings.operators().isEnabled(Feature.ROLLOUT)) {
            return null;
        }
        return new Rollout(eventLoop, settings, state, release == null ? Release.CURRENT : release);
    }

    /** Listens; gives the port for users and workers. */
    public int start() throws InterruptedException {
        List<String> shortage =
                QuotaShortage.warnings(
                        settings.deployment().processQuota(),
                        Runtime.getRuntime().maxMemory() / 1048576.0);
        if (!shortage.isEmpty()) {
            LOG.warn(
                    "starting, but short of what the deployment may need: {}",
                    String.join("; ", shortage));
        }
        HttpClient client = new HttpClient(network, MAX_RESPONSE_BYTES);
        HttpKeyValueStore state = new HttpKeyValueStore(eventLoop, client, settings.storeAddress());
        Rollout rollout = rollout(state);
        HttpCloudProvider cloud =
                new HttpCloudProvider(
                        eventLoop,
                        client,
                        settings.cloudAddress(),
                        settings.deployment().cloudLimits().requestsPerS());
        HttpWorkerClient workers =
                new HttpWorkerClient(
                        eventLoop,
                        new HttpClient(
                                network,
                                MAX_RESPONSE_BYTES,
                                settings.deployment().processQuota().maxSockets() * 15 / 100),
                        settings.deployment().workerTimings().heartbeatIntervalS());
        Peers peers = new Peers(eventLoop, settings, client);
        HeartbeatForwarder forwarder = new HeartbeatForwarder(eventLoop, client, settings);
        Controller controller =
                new Controller(
                        eventLoop,
                        settings,
                        rollout == null ? state : rollout.keyValueStore(),
                        cloud,
                        workers,
                        peers,
                        forwarder,
                        state::setRates,
                        rollout);
        eventLoop.setHandlers(controller::flush, controller::commandFailed);
        int sockets = settings.deployment().processQuota().maxSockets();
        userServer =
                new HttpServer(
                                network,
                                sockets * 7 / 10,
                                new PendingQueryLimit(
                                        Controller.JOBS_PATH,
                                        Controller.maxConcurrentQueries(settings),
                                        (call, answer) ->
                                                eventLoop.post(
                                                        () -> handle(controller, call, answer))))
                        .limitConnections(Controller.HEARTBEAT_PATH, sockets * 6 / 10);
        peerServer =
                new HttpServer(
                        network,
                        sockets / 10,
                        4 * HttpServer.MAX_REQUEST_BYTES,
                        (call, answer) -> eventLoop.post(() -> peers.handle(call, answer)));
        int port = userServer.start(settings.bindAddress().host(), settings.bindAddress().port());
        peerServer.start(settings.peerAddress().host(), settings.peerAddress().port());
        eventLoop.post(controller::start);
        LOG.info(
                "{} in {} listens on {}:{}",
                settings.node(),
                settings.zone(),
                settings.bindAddress().host(),
                port);
        return port;
    }

    private static void handle(
            Controller controller, InboundRequest call, Consumer<HttpReply> answer) {
        try {
            controller.handle(call, answer);
        } catch (RuntimeException e) {
            // Without an answer the client would wait in vain, and its place among the questions be
            // lost.
            answer.accept(HttpReply.error(500, "an internal error"));
            throw e;
        }
    }

    /** Works on the calling thread until stopped. */
    public void run() {
        eventLoop.run();
    }

    /** Closes the servers, stops the owner and shuts the network down. */
    public void stop() {
        userServer.close();
        peerServer.close();
        eventLoop.stop();
        network.shutdownGracefully();
    }
}
