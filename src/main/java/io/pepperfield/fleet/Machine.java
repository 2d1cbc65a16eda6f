package io.pepperfield.fleet;

import io.pepperfield.capacity.InstancePool;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.jobs.MachineAttributes;
import io.pepperfield.placement.Capacity;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The leader's state of one rented machine: its identity, the attempts on it, and whether tasks may
 * be placed on it. Used on the owner thread only.
 */
public final class Machine {

    private static final Logger LOG = LoggerFactory.getLogger(Machine.class);

    public final String name;
    String address = "";

    /** Whether another machine has answered orders that were sent to the address. */
    boolean addressMisdirected;

    private String reportingController = "";

    /** Whether the agent has reported a fencing token of this leader's term. */
    boolean hasSeenLeaderToken;

    private InstancePool pool = new InstancePool("", false);
    private MachineAttributes attributes = MachineAttributes.UNKNOWN;
    private boolean contradictoryAttributes;

    /** Position of the newest heartbeat whose state was applied, from any source. */
    final HeartbeatPosition appliedPosition = new HeartbeatPosition();

    /** Position of the newest heartbeat sent by the agent itself. */
    final HeartbeatPosition receivedPosition = new HeartbeatPosition();

    FencingToken highestTokenSeen = FencingToken.NONE;

    /** Loop time in seconds of the last heartbeat; NaN before the first one to this leader. */
    double lastHeartbeatAt = Double.NaN;

    /**
     * Loop time in seconds of the last response to a direct message, limited to the time for which
     * a response may replace a heartbeat.
     */
    double lastResponseAt = Double.NEGATIVE_INFINITY;

    double lastProbeAt = Double.NEGATIVE_INFINITY;

    /** Loop time in seconds at which this leader added the machine. */
    double knownSince;

    /** Loop time in seconds of the rental, or the best known estimate. */
    double rentedAt;

    /** Loop time in seconds at which the cloud reclaims the machine; NaN without a notice. */
    double reclaimAt = Double.NaN;

    /**
     * Whether a rental, the cloud provider's list or a durable intent names the machine, rather
     * than a heartbeat alone.
     */
    boolean expected;

    /** Tracks whether replies to heartbeats reach the machine. */
    final ReplyDeliveryMonitor replyDelivery = new ReplyDeliveryMonitor();

    /**
     * Whether the agent has lost the fencing token that it had seen. In that case only the release
     * of the machine proves that the attempts on it have ended.
     */
    boolean fencingTokenLost;

    /** The last heartbeat sent by the agent itself; the base for repeated heartbeats. */
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

    /** The name of the machine type; empty until known. */
    public String type() {
        return pool.type();
    }

    /** The controller that forwarded the last heartbeat; empty if this one received it. */
    public String reportingController() {
        return reportingController;
    }

    /** Sets the controller that forwarded the last heartbeat; empty for this one. */
    public void setReportingController(String controller) {
        reportingController = controller;
    }

    /** The machine type and instance class. */
    public InstancePool pool() {
        return pool;
    }

    /**
     * Records the attributes named by a heartbeat, a rental or the cloud's list. If two sources
     * contradict each other, the attributes count as unknown from then on.
     */
    void observeAttributes(String type, String zone, boolean spot) {
        if (contradictoryAttributes
                || attributes.type().equals(type)
                        && attributes.zone().equals(zone)
                        && attributes.spot() == spot) {
            return;
        }
        MachineAttributes observed = new MachineAttributes(type, zone, spot);
        if (attributes.known()) {
            contradictoryAttributes = true;
            LOG.error(
                    "contradictory machine attributes: instance={} known={} observed={}",
                    name,
                    attributes,
                    observed);
            attributes = MachineAttributes.UNKNOWN;
        } else {
            attributes = observed;
            pool = new InstancePool(type, spot);
        }
    }

    /** The attributes that decide which jobs may run here; unknown until a source names them. */
    public MachineAttributes attributes() {
        return attributes;
    }

    /** Whether two sources named different attributes, so that the machine must not be used. */
    public boolean hasContradictoryAttributes() {
        return contradictoryAttributes;
    }

    /** The zone; empty until known. */
    public String zone() {
        return attributes.zone();
    }

    /** Whether this is a spot machine, which the cloud may reclaim. */
    public boolean spot() {
        return pool.spot();
    }

    /** Whether this leader has received a heartbeat, so that the machine's attempts are known. */
    public boolean ready() {
        return !Double.isNaN(lastHeartbeatAt);
    }

    /** Loop time in seconds at which this leader added the machine. */
    public double knownSince() {
        return knownSince;
    }

    /** Loop time in seconds of the rental, or the best known estimate. */
    public double rentedAt() {
        return rentedAt;
    }

    /**
     * Seconds since the last heartbeat or direct response, or since the machine was added if it has
     * sent neither.
     */
    public double unresponsiveFor(double now) {
        return now - Math.max(lastResponseAt, ready() ? lastHeartbeatAt : knownSince);
    }

    /**
     * Seconds since the machine last sent a message, or since the first sign that replies do not
     * reach it, whichever is longer.
     */
    public double unreachableFor(double now) {
        return hasReceiveFailure()
                ? Math.max(unresponsiveFor(now), replyDelivery.receiveFailureFor(now))
                : unresponsiveFor(now);
    }

    /**
     * Whether there is a one-way network partition: heartbeats arrive, but they show that replies
     * and orders do not reach the machine.
     */
    public boolean hasReceiveFailure() {
        return replyDelivery.hasReceiveFailure();
    }

    /**
     * Whether tasks may be placed on the machine. A heartbeat alone does not prove that a machine
     * exists, since it may be a late duplicate. A machine known from heartbeats alone must first
     * have reported a fencing token of this leader's term.
     */
    public boolean isSchedulable(double now) {
        boolean exists = ready() && attributes.known() && (expected || hasSeenLeaderToken);
        boolean reachable = !hasReceiveFailure() && !fencingTokenLost;
        boolean available = !releasing && !draining() && quarantinedUntil <= now;
        return exists && reachable && available;
    }

    /** Whether the machine is being released. */
    public boolean releasing() {
        return releasing;
    }

    /**
     * Whether the machine gets no new tasks, by a decision of the leader or because the cloud will
     * reclaim it.
     */
    public boolean draining() {
        return draining || !Double.isNaN(reclaimAt);
    }

    /** Loop time in seconds at which the cloud reclaims the machine; NaN without a notice. */
    public double reclaimAt() {
        return reclaimAt;
    }

    /** Loop time in seconds until which no tasks are placed on the machine. */
    public double quarantinedUntil() {
        return quarantinedUntil;
    }

    /**
     * Returns whether a probe is due, at most once per interval, and records it as sent. The caller
     * must send it.
     */
    public boolean claimDueProbe(double now, double intervalS) {
        boolean due = now - lastProbeAt >= intervalS && !address.isEmpty() && !addressMisdirected;
        lastProbeAt = due ? now : lastProbeAt;
        return due;
    }

    /** Prevents the placement of tasks until the given loop time in seconds. */
    public void quarantine(double untilTime) {
        quarantinedUntil = Math.max(quarantinedUntil, untilTime);
    }

    /**
     * Whether tasks of several jobs failed here that complete tasks elsewhere. A job that fails on
     * all machines does not indicate a faulty machine.
     */
    public boolean faulty() {
        return jobFailures.indicateFaultyMachine();
    }

    /** Whether the agent restarted and lost the fencing token that it had seen. */
    public boolean hasLostFencingToken() {
        return fencingTokenLost;
    }

    /** The host and port of the agent; empty until known. */
    public String address() {
        return address;
    }

    /** Whether another machine has answered at the address, so that it must not be used. */
    public boolean addressMisdirected() {
        return addressMisdirected;
    }

    /** The incarnation of the agent, incremented at each restart. */
    public long incarnation() {
        return appliedPosition.incarnation();
    }

    /** The images in the agent's cache, least recently used first. */
    public Set<String> images() {
        return images;
    }

    /** The attempts recorded on the machine, including ended ones that are not yet cleared. */
    public Collection<Attempt> attempts() {
        return attempts.values();
    }

    /** Whether the machine has no live attempts. */
    public boolean idle() {
        return usage.attemptCount() == 0;
    }

    /** The number of live attempts on the machine. */
    public int liveAttemptCount() {
        return usage.attemptCount();
    }

    /** Whether the machine has a live attempt of a service replica. */
    public boolean holdsReplica() {
        return usage.replicaCount() > 0;
    }

    /** Whether the image is in the agent's cache. */
    public boolean hasImage(String image) {
        return images.contains(image);
    }

    /** Places no more tasks on the machine; running attempts may finish. */
    public void drain() {
        draining = true;
    }

    /** Returns the name, type, instance class and zone for log messages. */
    public String describe() {
        return name + " (" + type() + (spot() ? ", spot" : "") + ", " + zone() + ")";
    }

    /** CPUs not used by live attempts. */
    public double freeCpus(MachineType machineType) {
        return machineType.cpus() - usage.cpus();
    }

    /** Accelerators not used by live attempts. */
    public double freeGpus(MachineType machineType) {
        return machineType.gpus() - usage.gpus();
    }

    /** Memory in gigabytes not used by live attempts. */
    public double freeMemGb(MachineType machineType) {
        return machineType.memGb() - usage.memGb();
    }

    /**
     * The capacity not used by service replicas: the most that can become free, since replicas do
     * not end by themselves.
     */
    public Capacity capacityExcludingReplicas(MachineType machineType) {
        return new Capacity(
                machineType.cpus() - usage.replicaCpus(),
                machineType.gpus() - usage.replicaGpus(),
                machineType.memGb() - usage.replicaMemGb());
    }
}
