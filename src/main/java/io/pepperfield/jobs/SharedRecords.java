package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.store.Keys;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Which small jobs share a durable run record. A swarm of jobs with a task each would otherwise
 * cost a change for each intent, and changes per second are the scarcest resource. A record whose
 * jobs are all over is used again.
 */
public final class SharedRecords {

    /** A job is small if so many like it fill a record. */
    private static final int SMALL = 16;

    private final long token;
    private final int mostTasks;
    private final Map<String, Map<String, Job>> members = new HashMap<>();
    private final Map<String, String> recordOf = new HashMap<>();
    private final ArrayDeque<String> empty = new ArrayDeque<>();

    /** The records among which a record that had become too large is divided. */
    private final Map<String, List<String>> partsOf = new HashMap<>();

    /** Of each job in a divided record, the part that holds it. */
    private final Map<String, String> partOf = new HashMap<>();

    private String open = "";
    private int openTasks;
    private int sequence;

    /**
     * @param token of the leadership: no record's name is ever chosen by two leaders
     * @param mostTasks of all jobs in a record: an intent is guarded by the final state of its job,
     *     and guards are limited
     */
    public SharedRecords(long token, int mostTasks) {
        this.token = token;
        this.mostTasks = mostTasks;
    }

    /** A record of an earlier leader with those of its jobs that are not over. */
    public void restore(String key, Collection<String> ids, Map<String, Job> jobs) {
        Map<String, Job> inside = members.computeIfAbsent(key, k -> new LinkedHashMap<>());
        ids.forEach(
                id -> {
                    Job job = jobs.get(id);
                    if (job != null) {
                        inside.put(id, job);
                        recordOf.put(id, key);
                    }
                });
        if (inside.isEmpty()) {
            empty.add(key);
        }
    }

    /**
     * The record that the job shares, or null where it has its own; {@code begun}: it has run
     * records of its own already.
     */
    public String keyOf(Job job, boolean begun) {
        String known = recordOf.get(job.spec.id());
        if (known != null
                || begun
                || job.spec.service()
                || job.spec.tasks() * SMALL > job.spec.chunk()) {
            return known;
        }
        if (open.isEmpty()
                || openTasks + job.spec.tasks() > Math.min(mostTasks, job.spec.chunk())) {
            if (members.containsKey(open) && members.get(open).isEmpty()) {
                empty.add(open);
            }
            open = empty.isEmpty() ? newName() : empty.poll();
            openTasks = 0;
        }
        openTasks += job.spec.tasks();
        members.computeIfAbsent(open, k -> new LinkedHashMap<>()).put(job.spec.id(), job);
        recordOf.put(job.spec.id(), open);
        return open;
    }

    /**
     * The job is over and nothing of it may be alive: its lines are left out from the next writing
     * on.
     */
    public void over(String id) {
        String key = recordOf.remove(id);
        partOf.remove(id);
        if (key != null
                && members.get(key).remove(id) != null
                && members.get(key).isEmpty()
                && !key.equals(open)
                && !partsOf.containsKey(key)) {
            empty.add(key);
        }
    }

    /** The jobs in a record that are not over. */
    public Collection<Job> jobs(String key) {
        return members.get(key).values();
    }

    /**
     * The record has become too large for the state service: its jobs are divided among new records
     * of this leader's, which are written together with it from now on, so that no line is ever
     * missing or in two of them. False where that is not possible.
     */
    public boolean divide(String key) {
        Collection<Job> jobs = jobs(key);
        if (partsOf.containsKey(key) || jobs.size() < 2) {
            return false;
        }
        List<String> parts = new ArrayList<>(List.of(key));
        while (parts.size() < Math.min(RunRecord.PARTS, jobs.size())) {
            parts.add(newName());
        }
        partsOf.put(key, parts);
        int place = 0;
        for (Job job : jobs) {
            partOf.put(job.spec.id(), parts.get(place++ * parts.size() / jobs.size()));
        }
        if (key.equals(open)) {
            // Nothing more is added to it.
            open = "";
        }
        return true;
    }

    private String newName() {
        return Keys.SHARED + token + "-" + ++sequence;
    }

    /**
     * What the record is to hold now, and its parts. The record comes first: what it leaves out is
     * found in a part afterwards.
     */
    public Map<String, JsonNode> content(String key, Function<Job, List<RunRecord>> lines) {
        Map<String, JsonNode> values = new LinkedHashMap<>();
        partsOf.getOrDefault(key, List.of(key)).forEach(part -> values.put(part, Json.object()));
        for (Job job : jobs(key)) {
            String part = partOf.getOrDefault(job.spec.id(), key);
            ((ObjectNode) values.get(part)).set(job.spec.id(), RunRecord.write(lines.apply(job)));
        }
        return values;
    }
}
