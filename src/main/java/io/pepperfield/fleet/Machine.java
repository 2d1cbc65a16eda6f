package io.pepperfield.fleet;

import io.pepperfield.capacity.InstancePool;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.placement.Capacity;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** One rented machine as the leader knows it. */
public final class Machine {

    private static final int MIN_FAILED_JOBS = 2;

    public final String name;
    String address = "";
    String zone = "";
    private String reportingController = "";

    /** Has shown the token of this leadership. */
    boolean hasSeenLeaderToken;

    private InstancePool pool = new InstancePool("", false);
    long incarnation;
    long sequence = -1;
    long heartbeatIncarnation;
    long heartbeatSequence = -1;
    FencingToken highestTokenSeen = FencingToken.NONE;

    /** Loop time of the last report taken, NaN before the first under this leader. */
    double lastHeartbeatAt = Double.NaN;

    /** Loop time of its last answer to something sent to it. */
    double lastResponseAt = Double.NEGATIVE_INFINITY;

    double lastProbeAt = Double.NEGATIVE_INFINITY;

    /** Loop time since which this leader waits for a report. */
    double knownSince;

    /** Loop time of its rental, as well as it is known. */
    double rentedAt;

    double reclaimAt = Double.NaN;

    /**
     * Expected by a rental, the cloud's list or a durable intent: not known from a report alone.
     */
    boolean expected;

    /** Whether answers to its reports reach it. */
    final ReplyDeliveryMonitor replyDelivery = new ReplyDeliveryMonitor();

    /** Its worker has forgotten what it had seen: only its return settles what was alive on it. */
    boolean restarted;

    /** The last report taken as a message of its own; what a short one repeats. */
    Heartbeat lastHeartbeat;

    boolean releasing;
    boolean draining;
    double quarantinedUntil;

    /** Jobs of which a task failed here since one of any job was completed. */
    final Set<Job> failedJobs = new HashSet<>();

    final Map<TaskRef, Attempt> attempts = new LinkedHashMap<>();
    final Set<String> images = new LinkedHashSet<>();
    int liveAttemptCount;
    private int replicaCount;
    private double usedCpus;
    private double usedGpus;
    private double usedMemGb;

    /** What replicas take, which end only when their users say so. */
    private double replicaCpus;

    private double replicaGpus;
    private double replicaMemGb;

    Machine(String name, double now) {
        this.name = name;
        this.knownSince = now;
        this.rentedAt = now;
    }

    /** The name of its machine type; empty until known. */
    public String type() {
        return pool.type();
    }

    /** The controller that its last report came through; empty where it was this one. */
    public String reportingController() {
        return reportingController;
    }

    /** Sets the controller that its last report came through; empty for this one. */
    public void setReportingController(String node) {
        reportingController = node;
    }

    /** Its machine type and kind. */
    public InstancePool pool() {
        return pool;
    }

    void setInstanceClass(String type, boolean spot) {
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

    /** Has reported to this leader, so that its books are known. */
    public boolean ready() {
        return !Double.isNaN(lastHeartbeatAt);
    }

    /** Since when this leader knows of it. */
    public double knownSince() {
        return knownSince;
    }

    /** Loop time of its rental in seconds, as well as it is known. */
    public double rentedAt() {
        return rentedAt;
    }

    /** Whether what is known of it is at least as new as the report. */
    boolean alreadyApplied(Heartbeat report) {
        return report.incarnation() < incarnation
                || report.incarnation() == incarnation && report.sequence() <= sequence;
    }

    /** Whether this report, or a newer one, has come as a message of its own. */
    boolean isDuplicateHeartbeat(Heartbeat report) {
        return report.incarnation() < heartbeatIncarnation
                || report.incarnation() == heartbeatIncarnation
                        && report.sequence() <= heartbeatSequence;
    }

    /** Seconds since it last reported or answered, or since it was first awaited. */
    public double silentFor(double now) {
        return now - Math.max(lastResponseAt, ready() ? lastHeartbeatAt : knownSince);
    }

    /** How long nothing has been heard from it, or nothing has shown that it hears. */
    public double unreachableFor(double now) {
        return hasReceiveFailure()
                ? Math.max(silentFor(now), replyDelivery.receiveFailureFor(now))
                : silentFor(now);
    }

    /** Its reports arrive, but what they show says that neither answers nor orders reach it. */
    public boolean hasReceiveFailure() {
        return replyDelivery.hasReceiveFailure();
    }

    /**
     * Whether to give it work. A report alone does not tell that a machine is there, since copies
     * come late: one that nothing else speaks of must first have shown the token of this
     * leadership.
     */
    public boolean isSchedulable(double now) {
        return ready()
                && (expected || hasSeenLeaderToken)
                && !hasReceiveFailure()
                && !restarted
                && !releasing
                && !draining()
                && quarantinedUntil <= now;
    }

    /** Whether it is being returned to the cloud. */
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

    /** True once in each such time: it is to be asked whether it is there. */
    public boolean claimDueProbe(double now, double everyS) {
        boolean due = now - lastProbeAt >= everyS && !address.isEmpty();
        lastProbeAt = due ? now : lastProbeAt;
        return due;
    }

    /** Takes no tasks until then. */
    public void quarantine(double until) {
        quarantinedUntil = Math.max(quarantinedUntil, until);
    }

    /**
     * Tasks of several jobs failed here that succeed elsewhere: what fails everywhere is no fault
     * of the machine.
     */
    public boolean faulty() {
        return failedJobs.size() >= MIN_FAILED_JOBS
                && failedJobs.stream().filter(job -> job.doneTaskCount() > 0).count()
                        >= MIN_FAILED_JOBS;
    }

    /** Whether its worker restarted without its memory of what it ran. */
    public boolean restarted() {
        return restarted;
    }

    /** The host and port of its worker; empty until known. */
    public String address() {
        return address;
    }

    /** The number of its worker's session; a restarted worker has another one. */
    public long incarnation() {
        return incarnation;
    }

    /** The images that its worker has in its cache. */
    public Set<String> images() {
        return images;
    }

    /** The attempts on it that are not proven gone. */
    public Collection<Attempt> attempts() {
        return attempts.values();
    }

    /** Whether no attempt on it may be alive. */
    public boolean idle() {
        return liveAttemptCount == 0;
    }

    /** The number of attempts on it that may be alive. */
    public int liveAttemptCount() {
        return liveAttemptCount;
    }

    /** Whether a service's replica may be alive on it. */
    public boolean holdsReplica() {
        return replicaCount > 0;
    }

    /** Counts an attempt that may be alive here, or with -1 one that is not any more. */
    void adjustUsage(Attempt attempt, int sign) {
        JobSpec spec = attempt.job.spec;
        liveAttemptCount += sign;
        replicaCount += spec.isService() ? sign : 0;
        // An empty machine starts again from nought, so that rounding never adds up.
        usedCpus = liveAttemptCount == 0 ? 0 : usedCpus + sign * spec.cpus();
        usedGpus = liveAttemptCount == 0 ? 0 : usedGpus + sign * spec.gpus();
        usedMemGb = liveAttemptCount == 0 ? 0 : usedMemGb + sign * spec.memGb();
        if (spec.isService()) {
            replicaCpus = replicaCount == 0 ? 0 : replicaCpus + sign * spec.cpus();
            replicaGpus = replicaCount == 0 ? 0 : replicaGpus + sign * spec.gpus();
            replicaMemGb = replicaCount == 0 ? 0 : replicaMemGb + sign * spec.memGb();
        }
    }

    /** Whether its worker has the image in its cache. */
    public boolean hasImage(String image) {
        return images.contains(image);
    }

    /** No more tasks for it; what is there may end. */
    public void drain() {
        draining = true;
    }

    /** Its name, type, kind and zone for log messages. */
    public String describe() {
        return name + " (" + type() + (spot() ? ", spot" : "") + ", " + zone + ")";
    }

    /** Room left beside all attempts that may be alive. */
    public double freeCpus(MachineType of) {
        return of.cpus() - usedCpus;
    }

    /** Accelerators left beside all attempts that may be alive. */
    public double freeGpus(MachineType of) {
        return of.gpus() - usedGpus;
    }

    /** Memory in gigabytes left beside all attempts that may be alive. */
    public double freeMemGb(MachineType of) {
        return of.memGb() - usedMemGb;
    }

    /** Room that it will have at most, however long one waits: beside its replicas. */
    public Capacity capacityBesideReplicas(MachineType of) {
        return new Capacity(
                of.cpus() - replicaCpus, of.gpus() - replicaGpus, of.memGb() - replicaMemGb);
    }
}
