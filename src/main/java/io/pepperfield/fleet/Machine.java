package io.pepperfield.fleet;

import io.pepperfield.cloud.MachineType;
import io.pepperfield.jobs.Job;

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
    String type = "";
    String zone = "";
    boolean spot;
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
    boolean releasing;
    boolean draining;
    double avoidUntil;
    /** Jobs of which a task failed here and no later one was completed. */
    final Set<String> failedJobs = new HashSet<>();
    final Map<TaskRef, Attempt> attempts = new LinkedHashMap<>();
    final Set<String> images = new LinkedHashSet<>();

    Machine(String name, double now) {
        this.name = name;
        this.awaitedSince = now;
        this.rentedAt = now;
    }

    public String type() {
        return type;
    }

    public String zone() {
        return zone;
    }

    public boolean spot() {
        return spot;
    }

    /** Has reported to this leader, so that its books are known. */
    public boolean up() {
        return !Double.isNaN(reportedAt);
    }

    public double rentedAt() {
        return rentedAt;
    }

    public double silentFor(double now) {
        return now - Math.max(answeredAt, up() ? reportedAt : awaitedSince);
    }

    public boolean releasing() {
        return releasing;
    }

    public boolean draining() {
        return draining || !Double.isNaN(takenAt);
    }

    /** Loop time at which the cloud takes it, NaN without a notice. */
    public double takenAt() {
        return takenAt;
    }

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

    /** Tasks of several jobs failed here. */
    public boolean faulty() {
        return failedJobs.size() >= MOST_ERRORS;
    }

    public String address() {
        return address;
    }

    public long tenure() {
        return tenure;
    }

    public Set<String> images() {
        return images;
    }

    public Collection<Attempt> attempts() {
        return attempts.values();
    }

    /** Whether it still keeps an ended attempt of one of that job's tasks which is not done. */
    public boolean keeps(Job job) {
        return attempts.values().stream().anyMatch(a -> a.job == job && !a.live() && !job.isDone(a.task));
    }

    public boolean idle() {
        return attempts.values().stream().noneMatch(Attempt::live);
    }

    public boolean has(String image) {
        return images.contains(image);
    }

    /** No more tasks for it; what is there may end. */
    public void drain() {
        draining = true;
    }

    public String describe() {
        return name + " (" + type + (spot ? ", spot" : "") + ", " + zone + ")";
    }

    /** Room left beside all attempts that may be alive. */
    public double freeCpus(MachineType of) {
        return of.cpus() - attempts.values().stream().filter(Attempt::live).mapToDouble(a -> a.job.spec.cpus()).sum();
    }

    public double freeGpus(MachineType of) {
        return of.gpus() - attempts.values().stream().filter(Attempt::live).mapToDouble(a -> a.job.spec.gpus()).sum();
    }

    public double freeMemGb(MachineType of) {
        return of.memGb() - attempts.values().stream().filter(Attempt::live).mapToDouble(a -> a.job.spec.memGb()).sum();
    }
}
