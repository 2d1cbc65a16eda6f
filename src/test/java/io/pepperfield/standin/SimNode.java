package io.pepperfield.standin;

import io.pepperfield.admission.Admission;
import io.pepperfield.cloud.HttpCloudProvider;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Settings;
import io.pepperfield.controller.Controller;
import io.pepperfield.controller.ExternalSystems;
import io.pepperfield.fleet.HttpWorkerClient;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.HttpSender;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.http.Json;
import io.pepperfield.loop.Loop;
import io.pepperfield.peer.HeartbeatForwarder;
import io.pepperfield.peer.Peers;
import io.pepperfield.rollout.Rollout;
import io.pepperfield.store.HttpKeyValueStore;
import io.pepperfield.store.KeyValueStore;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/** A controller's process: it can end and begin anew, or stand still. */
final class SimNode implements SimWorld.Host {

    /** Answers a request to a simulated controller. */
    private interface Handler {
        void handle(InboundRequest request, Consumer<HttpReply> answer);
    }

    final int index;
    private final SimWorld world;
    private final Function<Version, Settings> settingsOf;
    private final List<String> violations;
    private Version version;
    private boolean alive;
    private Controller controller;
    private Peers peers;
    private int processIncarnation;
    private double pausedUntil;

    /** When it last sent something that the state service or another controller has answered. */
    private double heardOf;

    SimNode(
            int index,
            SimWorld world,
            Version version,
            Function<Version, Settings> settingsOf,
            List<String> violations) {
        this.index = index;
        this.world = world;
        this.version = version;
        this.settingsOf = settingsOf;
        this.violations = violations;
    }

    void start() {
        alive = true;
        Loop loop = new NodeLoop(++processIncarnation);
        heardOf = world.now();
        Settings settings = settingsOf.apply(version);
        HttpSender sender = checkedSender(settings);
        HttpSender toStore =
                version == Version.RECORDED ? RecordedVersion.filterStoreResponses(sender) : sender;
        HttpKeyValueStore store = new HttpKeyValueStore(loop, toStore, settings.storeAddress());
        peers = new Peers(loop, settings, sender);
        Optional<Rollout> rollout =
                Optional.ofNullable(version.release())
                        .map(release -> new Rollout(loop, settings, store, release));
        ExternalSystems external =
                new ExternalSystems(
                        rollout.<KeyValueStore>map(Rollout::keyValueStore).orElse(store),
                        new HttpCloudProvider(loop, sender, settings.cloudAddress(), 20),
                        new HttpWorkerClient(loop, sender, SimulatedRegion.HEARTBEAT_INTERVAL_S),
                        peers,
                        new HeartbeatForwarder(loop, sender, settings),
                        store::setRates);
        controller = new Controller(loop, settings, external, rollout);
        controller.start();
    }

    /** The event loop of one process, which ends with it and stands still while it is paused. */
    private final class NodeLoop implements Loop {
        private final int incarnation;

        NodeLoop(int incarnation) {
            this.incarnation = incarnation;
        }

        @Override
        public double now() {
            return world.now();
        }

        @Override
        public long wallClockMs() {
            return 1_000_000_000L + Math.round(world.now() * 1000);
        }

        @Override
        public void post(Runnable command) {
            schedule(0, command);
        }

        @Override
        public void schedule(double seconds, Runnable command) {
            world.after(Math.max(seconds, 0), () -> awake(incarnation, () -> run(command)));
        }

        private void run(Runnable command) {
            command.run();
            controller.flush();
        }
    }

    /** The way out, with checks of what a controller may send and when. */
    private HttpSender checkedSender(Settings settings) {
        HttpSender out = world.from("node-" + index);
        return (request, onOutcome) -> {
            String path = request.path();
            if (request.method().equals("POST")
                    && (path.endsWith("/orders") || path.startsWith("/rentals"))) {
                mustBeAwake("sends " + path);
            }
            mustHaveFeature(settings, path);
            double sent = world.now();
            out.send(
                    request,
                    outcome -> {
                        if (outcome instanceof HttpOutcome.Answered answer
                                && answer.status() == 200
                                && isAuthoritative(request.port())) {
                            heardOf = Math.max(heardOf, sent);
                        }
                        onOutcome.accept(outcome);
                    });
        };
    }

    /** The state service and other controllers; their answers confirm what this one knows. */
    private static boolean isAuthoritative(int port) {
        return port == 2379 || port == 8081;
    }

    /** Ends the process, unless it has ended already, and starts it again after that time. */
    void crash(double forS) {
        if (alive) {
            alive = false;
            world.after(forS, this::start);
        }
    }

    /** Ends the process, unless it has ended already; it comes back as the other version. */
    void replace(Version by, double forS) {
        version = by;
        crash(forS);
    }

    Version version() {
        return version;
    }

    /** The process stands still while its clocks run on; what comes for it waits. */
    void pause(double until) {
        pausedUntil = until;
    }

    @Override
    public void request(
            String from, String method, String path, byte[] body, Consumer<HttpReply> answer) {
        byte[] known =
                version == Version.RECORDED ? RecordedVersion.withoutAwaits(path, body) : body;
        take(controller::handle, SimWorld.call(method, path, known), answer);
    }

    /** After a pause longer than a grant nothing may rest on what it knew before. */
    private void mustBeAwake(String what) {
        if (pausedUntil > heardOf) {
            violations.add(
                    world.now()
                            + " asleep: node-"
                            + index
                            + " "
                            + what
                            + " without a word since "
                            + pausedUntil);
        }
    }

    /**
     * At once, or in the order in which things came once the process goes on; never in another life
     * of it.
     */
    private void awake(int in, Runnable then) {
        // A process that was killed does nothing more, whatever still comes for it.
        if (!alive || processIncarnation != in) {
            return;
        }
        if (world.now() < pausedUntil) {
            world.at(pausedUntil, () -> awake(in, then));
        } else {
            then.run();
        }
    }

    @Override
    public boolean alive() {
        return alive;
    }

    SimWorld.Host peerSide() {
        return new SimWorld.Host() {
            @Override
            public void request(
                    String from,
                    String method,
                    String path,
                    byte[] body,
                    Consumer<HttpReply> answer) {
                InboundRequest request = SimWorld.call(method, path, body);
                checkForm(isKnown(request), request);
                take(
                        peers::handle,
                        request,
                        reply -> {
                            checkForm(
                                    reply.status() != 200
                                            || RecordedForms.isReadableAnswer(
                                                    path, Json.read(reply.body())),
                                    request);
                            answer.accept(reply);
                        });
            }

            @Override
            public boolean alive() {
                return alive;
            }
        };
    }

    /** A feature's messages are known to nobody else; who sends them is checked at the sender. */
    private static boolean isKnown(InboundRequest request) {
        return request.path().equals(Admission.PATH)
                || RecordedForms.isReadableRequest(
                        request.method(), request.path(), Json.read(request.body()));
    }

    private void mustHaveFeature(Settings settings, String path) {
        if (path.equals(Admission.PATH) && !settings.operators().isEnabled(Feature.ADMISSION)) {
            violations.add(world.now() + " node-" + index + " has no admission and sends " + path);
        }
    }

    /** The admissions per minute that it may use at this moment; none while it is down. */
    int admissionsPerMinute() {
        return alive ? controller.admission().map(Admission::admissionsPerMinute).orElse(0) : 0;
    }

    private void checkForm(boolean known, InboundRequest request) {
        if (!known) {
            violations.add(
                    world.now() + " of another form: " + request.path() + " to node-" + index);
        }
    }

    /** An answer of a process that has ended meanwhile never leaves. */
    private void take(Handler by, InboundRequest request, Consumer<HttpReply> answer) {
        int mine = processIncarnation;
        awake(
                mine,
                () -> {
                    by.handle(
                            request,
                            reply -> {
                                if (alive && processIncarnation == mine) {
                                    if (request.path().equals("/agent/beat")
                                            && reply.status() == 200) {
                                        mustBeAwake("renews a lease");
                                    }
                                    answer.accept(reply);
                                }
                            });
                    controller.flush();
                });
    }
}
