package io.pepperfield.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Maps each stored shared run record to the jobs it contains, and each job to its record. Confined
 * to the event loop's thread.
 */
final class SharedRecordIndex {

    private final Map<String, List<String>> jobsByRecord = new HashMap<>();

    /** For each job in a shared record, the record that contained it most recently. */
    private final Map<String, String> recordByJob = new HashMap<>();

    /** Returns the ids of the jobs in each record, by the record's key. */
    Map<String, List<String>> jobsByRecord() {
        return jobsByRecord;
    }

    /**
     * Replaces the jobs of a record.
     *
     * @return the jobs that the record contained before and that no record contains now. A job that
     *     has moved to another record is never returned, whichever of the two records is read
     *     first.
     */
    List<String> replace(String key, List<String> jobs) {
        Set<String> kept = new HashSet<>(jobs);
        List<String> dropped =
                jobsByRecord.getOrDefault(key, List.of()).stream()
                        .filter(job -> !kept.contains(job) && recordByJob.remove(job, key))
                        .toList();
        jobsByRecord.put(key, jobs);
        jobs.forEach(job -> recordByJob.put(job, key));
        return dropped;
    }
}
