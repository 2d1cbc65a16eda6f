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
 * One controller of the cluster. Every controller serves users' requests; the leader also schedules
 * tasks onto machines. Confined to the event loop. {@link ControllerAssembly} creates the
 * components and connects them.
 */
public final class Controller {

    /** Path prefix of users' requests about a job. */
    static final String JOBS_PATH = "/api/jobs/";

    /** Path of workers' heartbeats. */
    static final String HEARTBEAT_PATH = "/agent/beat";

    private final ControllerAssembly components;
    private final StoredStateCompatibility compatibility;
    private final double heartbeatIntervalS;

    /**
     * Creates a controller that does nothing until {@link #start}.
     *
     * @param rollout the rollout of stored-state versions; empty if it is disabled
     */
    public Controller(
            Loop loop, Settings settings, ExternalSystems external, Optional<Rollout> rollout) {
        this.components = new ControllerAssembly(loop, settings, external, rollout);
        this.compatibility = components.compatibility();
        this.heartbeatIntervalS = settings.deployment().workerTimings().heartbeatIntervalS();
    }

    /**
     * Returns how many users' queries may be in progress at once: an eighth of the process's socket
     * quota. A query takes about 0.1 s.
     */
    static int maxConcurrentQueries(Settings settings) {
        return settings.deployment().processQuota().maxSockets() / 8;
    }

    /** Starts watching the store and running the periodic tasks, which include leader election. */
    public void start() {
        components.rateLimits().applyForRole(false);
        components.synchronizer().start();
        components.ticker().tick();
    }

    /** Sends buffered requests and replies; called at the end of each batch of commands. */
    public void flush() {
        components.batchFlusher().flush();
    }

    /**
     * Steps down after a command threw an exception: in-memory state may be inconsistent and is
     * discarded. The next leader recovers the durable state from the store.
     */
    public void commandFailed() {
        components
                .leadership()
                .stepDown("internal error: a command threw an exception", heartbeatIntervalS);
    }

    /** Handles a request from a user, a worker or the load balancer. */
    public void handle(InboundRequest request, Consumer<HttpReply> answer) {
        if (compatibility.isRolloutRequest(request)) {
            compatibility.handleRolloutRequest(request, answer);
        } else if (compatibility.mayServe()) {
            components.router().handle(request, answer);
        } else {
            answer.accept(HttpReply.unavailable(StoredStateCompatibility.NOT_SERVING));
        }
    }

    /**
     * Returns the number of planned starts that the last check before the order has refused in this
     * controller's leadership term; 0 while another controller leads.
     */
    public int refusedStartCount() {
        return components.currentLeader().get().map(Leader::refusedStartCount).orElse(0);
    }

    /** Returns fair admission on this controller; empty if it is disabled. */
    public Optional<Admission> admission() {
        return components.admission();
    }
}
