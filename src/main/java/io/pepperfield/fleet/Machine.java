package io.pepperfield.fleet;

import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.placement.Capacity;
import io.pepperfield.steering.Pool;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/** One rented machine as the leader knows it. */
public final class Machine {

    private static final int MOST_ERRORS = 2;

    public final String name;
    String address = "";
    String zone = "";
    private String through = "";

    /** Has shown the token of this leadership. */
    boolean heardLeader;

    private Pool pool = new Pool("", false);
    long tenure;
    long serial = -1;
    long beatTenure;
    long beatSerial = -1;
    long seenToken;

    /** Loop time of the last report taken, NaN before the first under this leader. */
    double reportedAt = Double.NaN;

    /** Loop time of its last answer to something sent to it. */
    double answeredAt = Double.NEGATIVE_INFINITY;

    double probedAt = Double.NEGATIVE_INFINITY;

    /** Loop time since which this leader waits for a report. */
    double awaitedSince;

    /** Loop time of its rental, as well as it is known. */
    double rentedAt;

    double takenAt = Double.NaN;

    /**
     * Expected by a rental, the cloud's list or a durable intent: not known from a report alone.
     */
    boolean expected;

    /** Whether answers to its reports reach it. */
    final AnswerTracking answers = new AnswerTracking();

    /** Its worker has forgotten what it had seen: only its return settles what was alive on it. */
    boolean reborn;

    /** The last report taken as a message of its own; what a short one repeats. */
    Report lastBeat;

    boolean releasing;
    boolean draining;
    double avoidUntil;

    /** Jobs of which a task failed here since one of any job was completed. */
    final Set<Job> failedJobs = new HashSet<>();

    final Map<TaskRef, Attempt> attempts = new LinkedHashMap<>();
    final Set<String> images = new LinkedHashSet<>();
    int live;
    private int replicas;
    private double cpus;
    private double gpus;
    private double memGb;

    /** What replicas take, which end only when their users say so. */
    private double lastingCpus;

    private double lastingGpus;
    private double lastingMemGb;

    Machine(String name, double now) {
        this.name = name;
        this.awaitedSince = now;
        this.rentedAt = now;
    }

    /** The name of its machine type; empty until known. */
    public String type() {
        return pool.type();
    }

    /** The controller that its last report came through; empty where it was this one. */
    public String through() {
        return through;
    }

    /** Sets the controller that its last report came through; empty for this one. */
    public void reportsThrough(String node) {
        through = node;
    }

    /** Its machine type and kind. */
    public Pool pool() {
        return pool;
    }

    void kind(String type, boolean spot) {
        if (!pool.type().equals(type) || pool.spot() != spot) {
            pool = new Pool(type, spot);
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
    public boolean up() {
        return !Double.isNaN(reportedAt);
    }

    /** Since when this leader knows of it. */
    public double awaitedSince() {
        return awaitedSince;
    }

    /** Loop time of its rental in seconds, as well as it is known. */
    public double rentedAt() {
        return rentedAt;
    }

    /** Whether what is known of it is at least as new as the report. */
    boolean knows(Report report) {
        return report.tenure() < tenure || report.tenure() == tenure && report.serial() <= serial;
    }

    /** Whether this report, or a newer one, has come as a message of its own. */
    boolean knowsBeat(Report report) {
        return report.tenure() < beatTenure
                || report.tenure() == beatTenure && report.serial() <= beatSerial;
    }

    /** Seconds since it last reported or answered, or since it was first awaited. */
    public double silentFor(double now) {
        return now - Math.max(answeredAt, up() ? reportedAt : awaitedSince);
    }

    /** How long nothing has been heard from it, or nothing has shown that it hears. */
    public double lostFor(double now) {
        return deaf() ? Math.max(silentFor(now), answers.deafFor(now)) : silentFor(now);
    }

    /** Its reports arrive, but what they show says that neither answers nor orders reach it. */
    public boolean deaf() {
        return answers.deaf();
    }

    /**
     * Whether to give it work. A report alone does not tell that a machine is there, since copies
     * come late: one that nothing else speaks of must first have shown the token of this
     * leadership.
     */
    public boolean takesWork(double now) {
        return up()
                && (expected || heardLeader)
                && !deaf()
                && !reborn
                && !releasing
                && !draining()
                && avoidUntil <= now;
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
        return draining || !Double.isNaN(takenAt);
    }

    /** Loop time at which the cloud takes it, NaN without a notice. */
    public double takenAt() {
        return takenAt;
    }

    /** Loop time in seconds until which it takes no tasks. */
    public double avoidUntil() {
        return avoidUntil;
    }

    /** True once in each such time: it is to be asked whether it is there. */
    public boolean dueForProbe(double now, double everyS) {
        boolean due = now - probedAt >= everyS && !address.isEmpty();
        probedAt = due ? now : probedAt;
        return due;
    }

    /** Takes no tasks until then. */
    public void avoid(double until) {
        avoidUntil = Math.max(avoidUntil, until);
    }

    /**
     * Tasks of several jobs failed here that succeed elsewhere: what fails everywhere is no fault
     * of the machine.
     */
    public boolean faulty() {
        return failedJobs.size() >= MOST_ERRORS
                && failedJobs.stream().filter(job -> job.doneCount() > 0).count() >= MOST_ERRORS;
    }

    /** Whether its worker restarted without its memory of what it ran. */
    public boolean reborn() {
        return reborn;
    }

    /** The host and port of its worker; empty until known. */
    public String address() {
        return address;
    }

    /** The number of its worker's session; a restarted worker has another one. */
    public long tenure() {
        return tenure;
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
        return live == 0;
    }

    /** The number of attempts on it that may be alive. */
    public int liveCount() {
        return live;
    }

    /** Whether a service's replica may be alive on it. */
    public boolean holdsReplica() {
        return replicas > 0;
    }

    /** Counts an attempt that may be alive here, or with -1 one that is not any more. */
    void count(Attempt attempt, int sign) {
        JobSpec spec = attempt.job.spec;
        live += sign;
        replicas += spec.service() ? sign : 0;
        // An empty machine starts again from nought, so that rounding never adds up.
        cpus = live == 0 ? 0 : cpus + sign * spec.cpus();
        gpus = live == 0 ? 0 : gpus + sign * spec.gpus();
        memGb = live == 0 ? 0 : memGb + sign * spec.memGb();
        if (spec.service()) {
            lastingCpus = replicas == 0 ? 0 : lastingCpus + sign * spec.cpus();
            lastingGpus = replicas == 0 ? 0 : lastingGpus + sign * spec.gpus();
            lastingMemGb = replicas == 0 ? 0 : lastingMemGb + sign * spec.memGb();
        }
    }

    /** Whether its worker has the image in its cache. */
    public boolean has(String image) {
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
        return of.cpus() - cpus;
    }

    /** Accelerators left beside all attempts that may be alive. */
    public double freeGpus(MachineType of) {
        return of.gpus() - gpus;
    }

    /** Memory in gigabytes left beside all attempts that may be alive. */
    public double freeMemGb(MachineType of) {
        return of.memGb() - memGb;
    }

    /** Room that it will have at most, however long one waits: beside its replicas. */
    public Capacity beside(MachineType of) {
        return new Capacity(
                of.cpus() - lastingCpus, of.gpus() - lastingGpus, of.memGb() - lastingMemGb);
    }
}
