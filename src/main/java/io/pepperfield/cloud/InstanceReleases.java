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
 * The instances that are to be released, one request at a time. A release is repeated until the
 * cloud confirms it, since a request without an answer may take effect late. Used on the owner
 * thread only.
 */
final class InstanceReleases {

    private static final Logger LOG = LoggerFactory.getLogger(InstanceReleases.class);
    private static final int MAX_INSTANCES_PER_REQUEST = 100;

    /** Batches up to this size are logged by name. */
    private static final int MAX_NAMES_LOGGED = 3;

    private final Loop loop;
    private final CloudProvider cloud;
    private final double retryS;
    private final BooleanSupplier leadershipConfirmed;
    private final Consumer<String> onReleased;

    /** Names of instances with the reason for their release. */
    private final Map<String, String> pending = new LinkedHashMap<>();

    private boolean requestInFlight;
    private boolean stopped;

    /**
     * @param onReleased called with the name of each instance that the cloud confirms as released
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

    /** The number of instances whose release the cloud has not confirmed. */
    int pendingCount() {
        return pending.size();
    }

    private void sendNext() {
        if (requestInFlight || stopped || pending.isEmpty()) {
            return;
        }
        requestInFlight = true;
        // What is added in the same batch of commands goes in one request.
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
        cloud.releaseInstances(names, confirmed -> answered(names, confirmed));
    }

    private void answered(List<String> names, boolean confirmed) {
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

    /** One line for a request: instances are lost and released by the hundred. */
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
