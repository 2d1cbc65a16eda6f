package io.pepperfield.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which accepted jobs wait for which others. A job waits until all its dependencies are done, and
 * is cancelled with the first of them that is. Confined to the event loop's thread.
 */
final class DependencyGraph {

    /** The records of all accepted jobs by id; kept by {@link JobIndex}. */
    private final Map<String, JobRecord> records;

    /** Ids that some job depends on and whose own job has not been read yet. */
    private final Map<String, String> idsNamedBeforeJobs = new HashMap<>();

    /** Of each job that has not ended, those that depend on it. */
    private final Map<String, List<JobRecord>> dependentsByJob = new HashMap<>();

    private final Set<String> affectedDependents = new LinkedHashSet<>();

    DependencyGraph(Map<String, JobRecord> records) {
        this.records = records;
    }

    /**
     * The id in the instance that the job itself has: a copy for each dependent would fill the heap
     * where thousands of jobs have hundreds of dependencies, and descriptions are kept for ever.
     */
    String internId(String id) {
        JobRecord record = records.get(id);
        if (record != null) {
            return record.spec().id();
        }
        String known = idsNamedBeforeJobs.putIfAbsent(id, id);
        return known == null ? id : known;
    }

    /**
     * The instance of an accepted job's id that its dependents have; itself where there is none.
     */
    String takeInternedId(String id) {
        String known = idsNamedBeforeJobs.remove(id);
        return known == null ? id : known;
    }

    /** Whether the job is known to be done. */
    boolean isDone(String id) {
        JobRecord record = records.get(id);
        return record != null && record.finalStatus() == Status.DONE;
    }

    /**
     * Adds a job's dependencies.
     *
     * @return whether one of them is known to be cancelled, and the job with it
     */
    boolean add(JobRecord record) {
        boolean cancelled = false;
        for (String id : record.spec().dependencies()) {
            JobRecord dependency = records.get(id);
            if (dependency != null && dependency.finalStatus() == Status.DONE) {
                record.updateReadyTime(dependency);
                continue;
            }
            record.countUnfinishedDependency();
            // Also where the dependency is not known yet: a later page may bring it.
            dependentsByJob.computeIfAbsent(id, i -> new ArrayList<>()).add(record);
            cancelled |= dependency != null && dependency.finalStatus() == Status.CANCELLED;
        }
        return cancelled;
    }

    /**
     * A job has ended: its dependents lose a dependency, or are cancelled with it.
     *
     * @return the dependents that are cancelled now; their own dependents are not visited yet
     */
    List<JobRecord> remove(JobRecord ended) {
        List<JobRecord> cancelled = new ArrayList<>();
        List<JobRecord> dependents = dependentsByJob.remove(ended.spec().id());
        for (JobRecord dependent : dependents == null ? List.<JobRecord>of() : dependents) {
            if (ended.finalStatus() == Status.DONE) {
                dependent.completeDependency(ended);
            } else if (!dependent.hasEnded()) {
                dependent.setFinalState(FinalState.CANCELLED_WITH_DEPENDENCY);
                cancelled.add(dependent);
            }
            affectedDependents.add(dependent.spec().id());
        }
        return cancelled;
    }

    /** The ids of the jobs that were affected by another job's end since the last call. */
    List<String> drainAffected() {
        List<String> affected = List.copyOf(affectedDependents);
        affectedDependents.clear();
        return affected;
    }
}
