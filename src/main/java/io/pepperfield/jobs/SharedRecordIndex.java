package io.pepperfield.jobs;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which jobs each stored shared run record holds, and which record holds each job. Confined to the
 * event loop's thread.
 */
final class SharedRecordIndex {

    private final Map<String, List<String>> jobsByRecord = new HashMap<>();

    /** Of each job in a shared record, the record that named it last. */
    private final Map<String, String> recordByJob = new HashMap<>();

    /** The ids of the jobs in each record, by the record's key. */
    Map<String, List<String>> jobsByRecord() {
        return jobsByRecord;
    }

    /**
     * Replaces the jobs of a record.
     *
     * @return the jobs that the record held before and that no record holds now. Where a job has
     *     moved, whichever of the two records is read first, the other one holds it.
     */
    List<String> replace(String key, List<String> jobs) {
        Set<String> held = new HashSet<>(jobs);
        List<String> dropped =
                jobsByRecord.getOrDefault(key, List.of()).stream()
                        .filter(job -> !held.contains(job) && recordByJob.remove(job, key))
                        .toList();
        jobsByRecord.put(key, jobs);
        jobs.forEach(job -> recordByJob.put(job, key));
        return dropped;
    }
}
