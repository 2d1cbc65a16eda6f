package io.pepperfield.controller;

import io.pepperfield.admission.Admission;
import io.pepperfield.config.Settings;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.InboundRequest;
import io.pepperfield.loop.Loop;
import io.pepperfield.rollout.Rollout;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * One controller: every one answers users; the leading one also decides what runs where. All of it
 * runs on the event loop. {@link ControllerAssembly} creates its parts and connects them.
 */
public final class Controller {

    /** Where users ask about jobs. */
    static final String JOBS_PATH = "/api/jobs/";

    /** Where workers send heartbeats. */
    static final String HEARTBEAT_PATH = "/agent/beat";

    private final ControllerAssembly parts;
    private final StoredStateCompatibility compatibility;
    private final double heartbeatIntervalS;

    /**
     * Creates a controller; {@link #start} begins its work.
     *
     * @param rollout the rollout of stored-state versions; empty where it is switched off
     */
    public Controller(
            Loop loop, Settings settings, ExternalSystems external, Optional<Rollout> rollout) {
        this.parts = new ControllerAssembly(loop, settings, external, rollout);
        this.compatibility = parts.compatibility();
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
    }

    /**
     * Queries may hold an eighth of the sockets at once; each is answered in about a tenth of a
     * second.
     */
    static int maxConcurrentQueries(Settings settings) {
        return settings.deployment().processQuota().maxSockets() / 8;
    }

    /** Begins to follow the store, and from then on to stand for election. */
    public void start() {
        parts.rateLimits().applyForRole(false);
        parts.synchronizer().start();
        parts.ticker().tick();
    }

    /** To be called at the end of each batch of commands. */
    public void flush() {
        parts.batchFlusher().flush();
    }

    /**
     * A command threw: state that may be half-written is dropped, and whoever leads next recovers
     * the durable one.
     */
    public void commandFailed() {
        parts.leadership().stepDown("an internal error", heartbeatIntervalS);
    }

    /** Takes a request of a user, a worker or the load balancer. */
    public void handle(InboundRequest request, Consumer<HttpReply> answer) {
        if (compatibility.isRolloutRequest(request)) {
            compatibility.handleRolloutRequest(request, answer);
        } else if (compatibility.mayServe()) {
            parts.router().handle(request, answer);
        } else {
            answer.accept(HttpReply.unavailable(StoredStateCompatibility.NOT_SERVING));
        }
    }

    /** Fair admission on this controller; empty where it is switched off. */
    public Optional<Admission> admission() {
        return parts.admission();
    }
}
