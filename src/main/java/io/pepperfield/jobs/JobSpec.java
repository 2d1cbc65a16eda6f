package io.pepperfield.jobs;

import io.pepperfield.store.Keys;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * What a user asked for.
 *
 * @param types allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param oneZone all tasks in the same zone
 * @param spread at most half of the tasks, rounded up, in one zone
 * @param spot may use spot machines
 * @param dueS deadline after the submission, or null
 * @param acceptedMs time of day of the submission
 * @param chunk tasks per durable run record
 * @param awaits jobs that must be done before any task starts, each once
 */
public record JobSpec(
        String id,
        String workload,
        String team,
        Shape shape,
        Rank rank,
        int tasks,
        double cpus,
        double gpus,
        double memGb,
        String image,
        double imageGb,
        List<String> types,
        String zone,
        boolean oneZone,
        boolean spread,
        boolean spot,
        double expectedS,
        double checkpointEveryS,
        double checkpointS,
        Double dueS,
        long acceptedMs,
        int chunk,
        List<String> awaits) {

    /**
     * The kind of job: independent tasks, replicas that run until cancelled, or tasks that start
     * together.
     */
    public enum Shape {
        ARRAY,
        SERVICE,
        GANG
    }

    /** From the highest to the lowest. */
    public enum Rank {
        PRODUCTION,
        URGENT,
        STANDARD,
        BEST_EFFORT
    }

    /** Whether its tasks are replicas that run until it is cancelled. */
    public boolean service() {
        return shape == Shape.SERVICE;
    }

    /** All tasks are started together or none. */
    public boolean gang() {
        return shape == Shape.GANG;
    }

    /** How many tasks must be able to run at the same time. */
    public int leastAtOnce() {
        return shape == Shape.ARRAY ? 1 : tasks;
    }

    /** How many tasks may be in one zone at the same time. */
    public int mostPerZone() {
        return spread ? (tasks + 1) / 2 : tasks;
    }

    /** The number of run records that its tasks need. */
    public int chunks() {
        return (tasks + chunk - 1) / chunk;
    }

    /**
     * The key of a part of a divided run record: numbers beyond those of the chunks, which every
     * version reads like any other chunk.
     */
    public String partKey(int chunkNumber, int part) {
        return Keys.run(id, chunkNumber + part * chunks());
    }

    /** The same job with another rank. */
    public JobSpec ranked(Rank other) {
        return copy(other, awaits);
    }

    /** The same job, with the ids of those that it needs as {@code shared} has them. */
    JobSpec needing(UnaryOperator<String> shared) {
        return awaits.isEmpty() ? this : copy(rank, awaits.stream().map(shared).toList());
    }

    JobSpec withoutAwaits() {
        return copy(rank, List.of());
    }

    private JobSpec copy(Rank otherRank, List<String> otherAwaits) {
        return new JobSpec(
                id,
                workload,
                team,
                shape,
                otherRank,
                tasks,
                cpus,
                gpus,
                memGb,
                image,
                imageGb,
                types,
                zone,
                oneZone,
                spread,
                spot,
                expectedS,
                checkpointEveryS,
                checkpointS,
                dueS,
                acceptedMs,
                chunk,
                otherAwaits);
    }

    /** Whether its tasks save checkpoints. */
    public boolean saves() {
        return checkpointEveryS > 0;
    }

    /** Whether a machine of that type, in that zone and of that kind may hold a task. */
    public boolean allows(String type, String inZone, boolean onSpot) {
        return (spot || !onSpot)
                && (types == null || types.contains(type))
                && (zone == null || zone.equals(inZone));
    }
}
