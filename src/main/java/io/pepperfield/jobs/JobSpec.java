package io.pepperfield.jobs;

import io.pepperfield.store.Keys;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * What a user asked for; never changes.
 *
 * @param id run- and six digits or more
 * @param workload the class of jobs by which run times are predicted
 * @param team the owner, whose quota the job uses
 * @param cpus of one task, as are gpus and memory
 * @param image the container image
 * @param imageGb its size, which a machine without it has to pull
 * @param machineTypes allowed machine types, or null for any
 * @param zone the only allowed zone, or null
 * @param sameZone all tasks in the same zone
 * @param spreadOverZones at most half of the tasks, rounded up, in one zone
 * @param spotAllowed may use spot machines
 * @param expectedRunTimeS how many seconds a task is expected to run
 * @param checkpointIntervalS seconds between two checkpoints of a task; 0 for none
 * @param checkpointDurationS seconds that a checkpoint takes
 * @param deadlineS deadline in seconds after the submission, or null
 * @param acceptedMs time of day of the submission in milliseconds
 * @param tasksPerRunRecord tasks in one stored run record
 * @param dependencies jobs that must be done before any task starts, each once
 */
public record JobSpec(
        String id,
        String workload,
        String team,
        Shape shape,
        Priority priority,
        int tasks,
        double cpus,
        double gpus,
        double memGb,
        String image,
        double imageGb,
        List<String> machineTypes,
        String zone,
        boolean sameZone,
        boolean spreadOverZones,
        boolean spotAllowed,
        double expectedRunTimeS,
        double checkpointIntervalS,
        double checkpointDurationS,
        Double deadlineS,
        long acceptedMs,
        int tasksPerRunRecord,
        List<String> dependencies) {

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
    public enum Priority {
        PRODUCTION,
        URGENT,
        STANDARD,
        BEST_EFFORT
    }

    /** Whether its tasks are replicas that run until it is cancelled. */
    public boolean isService() {
        return shape == Shape.SERVICE;
    }

    /** All tasks are started together or none. */
    public boolean isGang() {
        return shape == Shape.GANG;
    }

    /** How many tasks must be able to run at the same time. */
    public int minConcurrentTasks() {
        return shape == Shape.ARRAY ? 1 : tasks;
    }

    /** How many tasks may be in one zone at the same time. */
    public int maxTasksPerZone() {
        return spreadOverZones ? (tasks + 1) / 2 : tasks;
    }

    /** The number of run records that its tasks need. */
    public int runRecordCount() {
        return (tasks + tasksPerRunRecord - 1) / tasksPerRunRecord;
    }

    /**
     * The key of a part of a split run record: numbers beyond those of the job's records, which
     * every version reads like any other.
     */
    public String splitRecordKey(int record, int part) {
        return Keys.runRecord(id, record + part * runRecordCount());
    }

    /** The same job with another priority. */
    public JobSpec withPriority(Priority other) {
        return copy(other, dependencies);
    }

    /** The same job, with the ids of its dependencies as {@code shared} gives them. */
    JobSpec withInternedDependencyIds(UnaryOperator<String> shared) {
        return dependencies.isEmpty()
                ? this
                : copy(priority, dependencies.stream().map(shared).toList());
    }

    JobSpec withoutDependencies() {
        return copy(priority, List.of());
    }

    private JobSpec copy(Priority otherPriority, List<String> otherDependencies) {
        return new JobSpec(
                id,
                workload,
                team,
                shape,
                otherPriority,
                tasks,
                cpus,
                gpus,
                memGb,
                image,
                imageGb,
                machineTypes,
                zone,
                sameZone,
                spreadOverZones,
                spotAllowed,
                expectedRunTimeS,
                checkpointIntervalS,
                checkpointDurationS,
                deadlineS,
                acceptedMs,
                tasksPerRunRecord,
                otherDependencies);
    }

    /** Whether its tasks save checkpoints. */
    public boolean takesCheckpoints() {
        return checkpointIntervalS > 0;
    }

    /** Whether a machine of that type, in that zone and of that kind may hold a task. */
    public boolean allowsMachine(String type, String inZone, boolean onSpot) {
        return (spotAllowed || !onSpot)
                && (machineTypes == null || machineTypes.contains(type))
                && (zone == null || zone.equals(inZone));
    }
}
