package io.pepperfield.cloud;

import io.pepperfield.loop.Loop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Queue of instances to release, with one request in flight at a time. A release is retried until
 * the provider confirms it, since a request that timed out may still take effect. Confined to the
 * owner thread.
 */
final class InstanceReleases {

    private static final Logger LOG = LoggerFactory.getLogger(InstanceReleases.class);
    private static final int MAX_INSTANCES_PER_REQUEST = 100;

    /** Largest batch whose instance names are logged. */
    private static final int MAX_NAMES_LOGGED = 3;

    private final Loop loop;
    private final CloudProvider cloud;
    private final double retryS;
    private final BooleanSupplier leadershipConfirmed;
    private final Consumer<String> onReleased;

    /** Maps the name of an instance to the reason for its release. */
    private final Map<String, String> pending = new LinkedHashMap<>();

    private boolean requestInFlight;
    private boolean stopped;

    /**
     * @param onReleased called with the name of each instance whose release the provider confirms
     */
    InstanceReleases(
            Loop loop,
            CloudProvider cloud,
            double retryS,
            BooleanSupplier leadershipConfirmed,
            Consumer<String> onReleased) {
        this.loop = loop;
        this.cloud = cloud;
        this.retryS = retryS;
        this.leadershipConfirmed = leadershipConfirmed;
        this.onReleased = onReleased;
    }

    void stop() {
        stopped = true;
    }

    void add(String instanceName, String reason) {
        pending.put(instanceName, reason);
        sendNext();
    }

    /** Number of instances whose release the provider has not confirmed yet. */
    int pendingCount() {
        return pending.size();
    }

    private void sendNext() {
        if (requestInFlight || stopped || pending.isEmpty()) {
            return;
        }
        requestInFlight = true;
        // Deferred, so that releases added in the same batch of commands share one request.
        loop.post(this::send);
    }

    private void send() {
        if (!leadershipConfirmed.getAsBoolean()) {
            requestInFlight = false;
            loop.schedule(retryS, this::sendNext);
            return;
        }
        List<String> names = pending.keySet().stream().limit(MAX_INSTANCES_PER_REQUEST).toList();
        logRelease(names);
        cloud.releaseInstances(names, confirmed -> handleReply(names, confirmed));
    }

    private void handleReply(List<String> names, boolean confirmed) {
        requestInFlight = false;
        if (stopped) {
            return;
        }
        if (!confirmed) {
            loop.schedule(retryS, this::sendNext);
            return;
        }
        names.forEach(pending::remove);
        names.forEach(onReleased);
        sendNext();
    }

    /** Logs one line per request, since hundreds of instances may be lost and released at once. */
    private void logRelease(List<String> names) {
        Map<String, Integer> reasons = new TreeMap<>();
        names.forEach(name -> reasons.merge(pending.get(name), 1, Integer::sum));
        LOG.info(
                "releasing instances: count={} reasons={} instances={}",
                names.size(),
                reasons,
                names.size() <= MAX_NAMES_LOGGED ? names : "...");
    }
}
