package io.pepperfield.jobs;

import io.pepperfield.store.Keys;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * A job's specification as submitted by its user; immutable.
 *
 * @param id {@code run-} followed by at least six digits
 * @param workload the workload name, by which run times are predicted
 * @param team the owning team, whose quota the job uses
 * @param tasks the number of tasks
 * @param cpus CPUs per task
 * @param gpus GPUs per task
 * @param memGb memory per task in GB
 * @param image the container image
 * @param imageGb size of the image in GB, which a machine without the image has to pull
 * @param machineTypes allowed machine types, or null for any
 * @param zone the only allowed zone, or null for any
 * @param sameZone whether all tasks must run in the same zone
 * @param spreadOverZones whether at most half of the tasks, rounded up, may run in one zone
 * @param spotAllowed whether spot machines may be used
 * @param expectedRunTimeS expected run time of a task in seconds
 * @param checkpointIntervalS seconds between two checkpoints of a task; 0 for no checkpoints
 * @param checkpointDurationS duration of a checkpoint in seconds
 * @param deadlineS deadline in seconds after the submission, or null
 * @param acceptedMs wall-clock time of the submission in milliseconds
 * @param tasksPerRunRecord number of tasks per stored run record
 * @param dependencies ids of the jobs that must be done before any task starts, without duplicates
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
     * The kind of job: independent tasks (ARRAY), replicas that run until the job is cancelled
     * (SERVICE), or tasks that must be started together (GANG).
     */
    public enum Shape {
        ARRAY,
        SERVICE,
        GANG
    }

    /** Priorities, from highest to lowest. */
    public enum Priority {
        PRODUCTION,
        URGENT,
        STANDARD,
        BEST_EFFORT
    }

    /** Whether the tasks are replicas that run until the job is cancelled. */
    public boolean isService() {
        return shape == Shape.SERVICE;
    }

    /** Whether either all tasks are started together or none. */
    public boolean isGang() {
        return shape == Shape.GANG;
    }

    /** The minimum number of tasks that must be able to run concurrently. */
    public int minConcurrentTasks() {
        return shape == Shape.ARRAY ? 1 : tasks;
    }

    /** The maximum number of tasks that may run concurrently in one zone. */
    public int maxTasksPerZone() {
        return spreadOverZones ? (tasks + 1) / 2 : tasks;
    }

    /** The number of run records for all tasks. */
    public int runRecordCount() {
        return (tasks + tasksPerRunRecord - 1) / tasksPerRunRecord;
    }

    /**
     * The key of a part of a split run record. The parts use record numbers above those of the
     * job's regular records, which every version reads like any other record.
     */
    public String splitRecordKey(int record, int part) {
        return Keys.runRecord(id, record + part * runRecordCount());
    }

    /** Returns a copy with another priority. */
    public JobSpec withPriority(Priority other) {
        return copy(other, dependencies);
    }

    /** Returns a copy whose dependency ids are mapped by {@code intern}. */
    JobSpec withInternedDependencyIds(UnaryOperator<String> intern) {
        return dependencies.isEmpty()
                ? this
                : copy(priority, dependencies.stream().map(intern).toList());
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

    /** Whether the tasks take checkpoints. */
    public boolean takesCheckpoints() {
        return checkpointIntervalS > 0;
    }

    /** Whether a machine of the given type and zone, on demand or spot, may run a task. */
    public boolean allowsMachine(String type, String machineZone, boolean spot) {
        return (spotAllowed || !spot)
                && (machineTypes == null || machineTypes.contains(type))
                && (zone == null || zone.equals(machineZone));
    }
}
