package io.pepperfield.admission;

import io.pepperfield.jobs.JobSpec;
import java.util.Comparator;

/**
 * The unit between which the admission rate is divided: one class of jobs of one team.
 *
 * @param hasDependencies whether its jobs wait for other jobs. Such jobs are a class of their own,
 *     so that a flood with the same workload name does not delay a pipeline that has already
 *     started.
 */
public record WorkloadClass(String team, String workload, boolean hasDependencies)
        implements Comparable<WorkloadClass> {

    private static final Comparator<WorkloadClass> ORDER =
            Comparator.comparing(WorkloadClass::team)
                    .thenComparing(WorkloadClass::workload)
                    .thenComparing(WorkloadClass::hasDependencies);

    /** Returns the class of a job. */
    static WorkloadClass of(JobSpec job) {
        return new WorkloadClass(job.team(), job.workload(), !job.dependencies().isEmpty());
    }

    @Override
    public int compareTo(WorkloadClass other) {
        return ORDER.compare(this, other);
    }
}
