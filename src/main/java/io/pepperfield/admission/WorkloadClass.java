package io.pepperfield.admission;

import io.pepperfield.jobs.JobSpec;
import java.util.Comparator;

/**
 * What shares of the admission rate are counted by: one class of jobs of one team.
 *
 * @param hasDependencies whether its jobs wait for others. They are a class of their own, so that a
 *     flood of the same name does not hold up a pipeline that has begun.
 */
public record WorkloadClass(String team, String workload, boolean hasDependencies)
        implements Comparable<WorkloadClass> {

    private static final Comparator<WorkloadClass> ORDER =
            Comparator.comparing(WorkloadClass::team)
                    .thenComparing(WorkloadClass::workload)
                    .thenComparing(WorkloadClass::hasDependencies);

    /** The class that a job belongs to. */
    static WorkloadClass of(JobSpec job) {
        return new WorkloadClass(job.team(), job.workload(), !job.dependencies().isEmpty());
    }

    @Override
    public int compareTo(WorkloadClass other) {
        return ORDER.compare(this, other);
    }
}
