package io.pepperfield.node;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.pepperfield.cloud.HttpCloud;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;
import io.pepperfield.config.Shortage;
import io.pepperfield.fleet.HttpWorkers;
import io.pepperfield.http.Call;
import io.pepperfield.http.HttpClient;
import io.pepperfield.http.HttpServer;
import io.pepperfield.http.PendingQueryLimit;
import io.pepperfield.http.Reply;
import io.pepperfield.peer.Peers;
import io.pepperfield.peer.ReportForwarder;
import io.pepperfield.rollout.Release;
import io.pepperfield.rollout.Rollout;
import io.pepperfield.store.HttpStateService;
import java.util.List;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** One controller process: a network thread, the event loop, and the slices wired to both. */
public final class Service {

    private static final Logger LOG = LoggerFactory.getLogger(Service.class);

    /** A follow holds all changes at once; beyond this the keys are read in pages instead. */
    private static final int MOST_ANSWER_BYTES = 4 * 1024 * 1024;

    private final Settings settings;
    private final Release release;
    private final EventLoop eventLoop = new EventLoop();
    private final EventLoopGroup network =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private HttpServer users;
    private HttpServer others;

    /** Creates a controller's process; it listens from {@link #start} on. */
    public Service(Settings settings) {
        this(settings, null);
    }

    /**
     * Creates a controller's process of another release than this one.
     *
     * @param release what it reads and writes if the rollout is switched on; null for this release
     */
    public Service(Settings settings, Release release) {
        this.settings = settings;
        this.release = release;
    }

    private Rollout rollout(HttpStateService state) {
        if (!settings.operators().enabled(Feature.ROLLOUT)) {
            return null;
        }
        return new Rollout(eventLoop, settings, state, release == null ? Release.CURRENT : release);
    }

    /** Listens; gives the port for users and workers. */
    public int start() throws InterruptedException {
        List<String> shortage =
                Shortage.of(
                        settings.deployment().quota(),
                        Runtime.getRuntime().maxMemory() / 1048576.0);
        if (!shortage.isEmpty()) {
            LOG.warn(
                    "starting, but short of what the deployment may need: {}",
                    String.join("; ", shortage));
        }
        HttpClient client = new HttpClient(network, MOST_ANSWER_BYTES);
        HttpStateService state = new HttpStateService(eventLoop, client, settings.state());
        Rollout rollout = rollout(state);
        HttpCloud cloud =
                new HttpCloud(
                        eventLoop, client, settings.cloud(), settings.deployment().cloud().rps());
        HttpWorkers workers =
                new HttpWorkers(
                        eventLoop,
                        new HttpClient(
                                network,
                                MOST_ANSWER_BYTES,
                                settings.deployment().quota().sockets() * 15 / 100),
                        settings.deployment().workers().reportS());
        Peers peers = new Peers(eventLoop, settings, client);
        ReportForwarder forwarder = new ReportForwarder(eventLoop, client, settings);
        Controller controller =
                new Controller(
                        eventLoop,
                        settings,
                        rollout == null ? state : rollout.state(),
                        cloud,
                        workers,
                        peers,
                        forwarder,
                        state::share,
                        rollout);
        eventLoop.handlers(controller::flush, controller::failed);
        int sockets = settings.deployment().quota().sockets();
        users =
                new HttpServer(
                                network,
                                sockets * 7 / 10,
                                new PendingQueryLimit(
                                        Controller.JOBS,
                                        Controller.questionsAtOnce(settings),
                                        (call, answer) ->
                                                eventLoop.post(
                                                        () -> handle(controller, call, answer))))
                        .limit(Controller.BEAT, sockets * 6 / 10);
        others =
                new HttpServer(
                        network,
                        sockets / 10,
                        4 * HttpServer.MOST_BYTES,
                        (call, answer) -> eventLoop.post(() -> peers.handle(call, answer)));
        int port = users.start(settings.bind().host(), settings.bind().port());
        others.start(settings.peerListen().host(), settings.peerListen().port());
        eventLoop.post(controller::start);
        LOG.info(
                "{} in {} listens on {}:{}",
                settings.node(),
                settings.zone(),
                settings.bind().host(),
                port);
        return port;
    }

    private static void handle(Controller controller, Call call, Consumer<Reply> answer) {
        try {
            controller.handle(call, answer);
        } catch (RuntimeException e) {
            // Without an answer the client would wait in vain, and its place among the questions be
            // lost.
            answer.accept(Reply.error(500, "an internal error"));
            throw e;
        }
    }

    /** Works on the calling thread until stopped. */
    public void run() {
        eventLoop.run();
    }

    /** Closes the servers, stops the owner and shuts the network down. */
    public void stop() {
        users.close();
        others.close();
        eventLoop.stop();
        network.shutdownGracefully();
    }
}
