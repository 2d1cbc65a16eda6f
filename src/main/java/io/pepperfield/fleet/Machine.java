package io.pepperfield.fleet;

import io.pepperfield.capacity.InstancePool;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.placement.Capacity;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * One rented machine as the leader knows it: its identity, the attempts on it, and whether tasks
 * may be placed there. Used on the owner thread only.
 */
public final class Machine {

    public final String name;
    String address = "";
    String zone = "";
    private String reportingController = "";

    /** Whether its agent has shown a token of this leadership. */
    boolean hasSeenLeaderToken;

    private InstancePool pool = new InstancePool("", false);

    /** The newest heartbeat whose state is applied, whichever way it came. */
    final HeartbeatPosition appliedPosition = new HeartbeatPosition();

    /** The newest heartbeat that came as the agent's own message. */
    final HeartbeatPosition receivedPosition = new HeartbeatPosition();

    FencingToken highestTokenSeen = FencingToken.NONE;

    /** Loop time of the last heartbeat in seconds, NaN before the first under this leader. */
    double lastHeartbeatAt = Double.NaN;

    /** Loop time of its last answer to a direct message. */
    double lastResponseAt = Double.NEGATIVE_INFINITY;

    double lastProbeAt = Double.NEGATIVE_INFINITY;

    /** Loop time since which this leader waits for a heartbeat. */
    double knownSince;

    /** Loop time of its rental, as well as it is known. */
    double rentedAt;

    /** Loop time at which the cloud reclaims it, NaN without a notice. */
    double reclaimAt = Double.NaN;

    /**
     * Expected by a rental, the cloud's list or a durable intent: not known from a heartbeat alone.
     */
    boolean expected;

    /** Whether replies to its heartbeats reach it. */
    final ReplyDeliveryMonitor replyDelivery = new ReplyDeliveryMonitor();

    /**
     * Its agent has lost the token that it had seen: only the release of the machine proves that
     * attempts on it have ended.
     */
    boolean fencingTokenLost;

    /** The last heartbeat that came as the agent's own message; a short one repeats it. */
    Heartbeat lastHeartbeat;

    boolean releasing;
    boolean draining;
    double quarantinedUntil;

    final JobFailures jobFailures = new JobFailures();
    final ResourceUsage usage = new ResourceUsage();
    final Map<TaskRef, Attempt> attempts = new LinkedHashMap<>();
    final Set<String> images = new LinkedHashSet<>();

    Machine(String name, double now) {
        this.name = name;
        this.knownSince = now;
        this.rentedAt = now;
    }

    /** The name of its machine type; empty until known. */
    public String type() {
        return pool.type();
    }

    /** The controller that its last heartbeat came through; empty where it was this one. */
    public String reportingController() {
        return reportingController;
    }

    /** Sets the controller that its last heartbeat came through; empty for this one. */
    public void setReportingController(String controller) {
        reportingController = controller;
    }

    /** Its machine type and instance class. */
    public InstancePool pool() {
        return pool;
    }

    void setPool(String type, boolean spot) {
        if (!pool.type().equals(type) || pool.spot() != spot) {
            pool = new InstancePool(type, spot);
        }
    }

    /** The zone it is in; empty until known. */
    public String zone() {
        return zone;
    }

    /** Whether it is a spot machine, which the cloud may take back. */
    public boolean spot() {
        return pool.spot();
    }

    /** Whether a heartbeat has come to this leader, so that its attempts are known. */
    public boolean ready() {
        return !Double.isNaN(lastHeartbeatAt);
    }

    /** Loop time in seconds since which this leader knows of it. */
    public double knownSince() {
        return knownSince;
    }

    /** Loop time of its rental in seconds, as well as it is known. */
    public double rentedAt() {
        return rentedAt;
    }

    /** Seconds since its last heartbeat or answer, or since it was first awaited. */
    public double unresponsiveFor(double now) {
        return now - Math.max(lastResponseAt, ready() ? lastHeartbeatAt : knownSince);
    }

    /** Seconds since nothing has come from it, or nothing has shown that replies reach it. */
    public double unreachableFor(double now) {
        return hasReceiveFailure()
                ? Math.max(unresponsiveFor(now), replyDelivery.receiveFailureFor(now))
                : unresponsiveFor(now);
    }

    /**
     * Whether the path to it is cut one way: its heartbeats arrive, but they show that neither
     * replies nor orders reach it.
     */
    public boolean hasReceiveFailure() {
        return replyDelivery.hasReceiveFailure();
    }

    /**
     * Whether tasks may be placed on it. A heartbeat alone does not prove that a machine exists,
     * since copies come late: one that nothing else speaks of must first have shown a token of this
     * leadership.
     */
    public boolean isSchedulable(double now) {
        boolean exists = ready() && (expected || hasSeenLeaderToken);
        boolean reachable = !hasReceiveFailure() && !fencingTokenLost;
        boolean available = !releasing && !draining() && quarantinedUntil <= now;
        return exists && reachable && available;
    }

    /** Whether it is being released. */
    public boolean releasing() {
        return releasing;
    }

    /**
     * Whether it takes no new tasks, by a decision of the leader or because the cloud takes it
     * back.
     */
    public boolean draining() {
        return draining || !Double.isNaN(reclaimAt);
    }

    /** Loop time at which the cloud takes it, NaN without a notice. */
    public double reclaimAt() {
        return reclaimAt;
    }

    /** Loop time in seconds until which it takes no tasks. */
    public double quarantinedUntil() {
        return quarantinedUntil;
    }

    /** Whether a probe is due, at most one in each interval; the caller is to send it. */
    public boolean claimDueProbe(double now, double intervalS) {
        boolean due = now - lastProbeAt >= intervalS && !address.isEmpty();
        lastProbeAt = due ? now : lastProbeAt;
        return due;
    }

    /** Places no tasks on it before that loop time in seconds. */
    public void quarantine(double untilTime) {
        quarantinedUntil = Math.max(quarantinedUntil, untilTime);
    }

    /**
     * Whether tasks of several jobs failed here that succeed elsewhere. What fails everywhere is no
     * fault of the machine.
     */
    public boolean faulty() {
        return jobFailures.indicateFaultyMachine();
    }

    /** Whether its agent restarted without the token that it had seen. */
    public boolean hasLostFencingToken() {
        return fencingTokenLost;
    }

    /** The host and port of its agent; empty until known. */
    public String address() {
        return address;
    }

    /** The number of its agent's incarnation, which counts up at each restart. */
    public long incarnation() {
        return appliedPosition.incarnation();
    }

    /** The images in its agent's cache, the latest used last. */
    public Set<String> images() {
        return images;
    }

    /** The attempts on it that are not proven gone. */
    public Collection<Attempt> attempts() {
        return attempts.values();
    }

    /** Whether no attempt on it may be alive. */
    public boolean idle() {
        return usage.attemptCount() == 0;
    }

    /** The number of attempts on it that may be alive. */
    public int liveAttemptCount() {
        return usage.attemptCount();
    }

    /** Whether a service's replica may be alive on it. */
    public boolean holdsReplica() {
        return usage.replicaCount() > 0;
    }

    /** Whether its agent has the image in its cache. */
    public boolean hasImage(String image) {
        return images.contains(image);
    }

    /** Places no more tasks on it; what runs there may end. */
    public void drain() {
        draining = true;
    }

    /** Its name, type, instance class and zone for log messages. */
    public String describe() {
        return name + " (" + type() + (spot() ? ", spot" : "") + ", " + zone + ")";
    }

    /** CPUs left beside all attempts that may be alive. */
    public double freeCpus(MachineType machineType) {
        return machineType.cpus() - usage.cpus();
    }

    /** Accelerators left beside all attempts that may be alive. */
    public double freeGpus(MachineType machineType) {
        return machineType.gpus() - usage.gpus();
    }

    /** Memory in gigabytes left beside all attempts that may be alive. */
    public double freeMemGb(MachineType machineType) {
        return machineType.memGb() - usage.memGb();
    }

    /** The capacity that it will have at most, however long one waits: beside its replicas. */
    public Capacity capacityExcludingReplicas(MachineType machineType) {
        return new Capacity(
                machineType.cpus() - usage.replicaCpus(),
                machineType.gpus() - usage.replicaGpus(),
                machineType.memGb() - usage.replicaMemGb());
    }
}
