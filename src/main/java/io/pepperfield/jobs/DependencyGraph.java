package io.pepperfield.jobs;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The dependency graph of the accepted jobs. A job waits until all its dependencies are done, and
 * is cancelled as soon as one of them is cancelled. Confined to the event loop's thread.
 */
final class DependencyGraph {

    /** The records of all accepted jobs by id; maintained by {@link JobIndex}. */
    private final Map<String, JobRecord> records;

    /** Interned ids of dependencies whose own job has not been read yet. */
    private final Map<String, String> unresolvedIds = new HashMap<>();

    /** The dependents of each job that has not ended, by the job's id. */
    private final Map<String, List<JobRecord>> dependentsByJob = new HashMap<>();

    private final Set<String> affectedDependents = new LinkedHashSet<>();

    DependencyGraph(Map<String, JobRecord> records) {
        this.records = records;
    }

    /**
     * Returns the interned instance of a job id, the one that the job's own specification uses. A
     * copy for each dependent would fill the heap if thousands of jobs have hundreds of
     * dependencies each, since specifications are kept forever.
     */
    String internId(String id) {
        JobRecord record = records.get(id);
        if (record != null) {
            return record.spec().id();
        }
        String interned = unresolvedIds.putIfAbsent(id, id);
        return interned == null ? id : interned;
    }

    /**
     * Removes and returns the instance of an accepted job's id that its dependents already use;
     * returns the argument if there is none.
     */
    String takeInternedId(String id) {
        String interned = unresolvedIds.remove(id);
        return interned == null ? id : interned;
    }

    /** Whether the job is known to be done. */
    boolean isDone(String id) {
        JobRecord record = records.get(id);
        return record != null && record.finalStatus() == Status.DONE;
    }

    /**
     * Adds a job's dependencies.
     *
     * @return whether one of them is known to be cancelled, so that the job is cancelled too
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
            // Also if the dependency is not known yet: a later page may contain it.
            dependentsByJob.computeIfAbsent(id, i -> new ArrayList<>()).add(record);
            cancelled |= dependency != null && dependency.finalStatus() == Status.CANCELLED;
        }
        return cancelled;
    }

    /**
     * Removes a job that has ended: its dependents have one unfinished dependency less, or are
     * cancelled with it.
     *
     * @return the dependents cancelled by this call; their own dependents have not been visited
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

    /** Returns the ids of the jobs affected by the end of another job since the last call. */
    List<String> drainAffected() {
        List<String> affected = List.copyOf(affectedDependents);
        affectedDependents.clear();
        return affected;
    }
}
