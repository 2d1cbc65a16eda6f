package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.store.Keys;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Predicate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * All jobs that were ever accepted, as the replica has them; every node answers its users from
 * here.
 */
public final class Catalog {

    private static final Logger LOG = LoggerFactory.getLogger(Catalog.class);

    /** So many of the jobs that one waits for are shown to its user. */
    private static final int MOST_SHOWN = 16;

    /**
     * One durable run record, with how many of its tasks are done, may be alive, or failed where
     * they were last tried.
     */
    private record Chunk(byte[] json, int done, int running, int failed) {

        static Chunk of(JsonNode data) {
            int done = 0;
            int running = 0;
            int failed = 0;
            for (JsonNode line : data) {
                RunRecord.State state = RunRecord.stateOf(line);
                done += state == RunRecord.State.DONE ? 1 : 0;
                running += state == RunRecord.State.LIVE ? 1 : 0;
                failed += state == RunRecord.State.FAILED ? 1 : 0;
            }
            return new Chunk(Json.write(data), done, running, failed);
        }
    }

    /** A durable final state. */
    private record End(Status status, OptionalLong doneMs) {

        static End of(JsonNode data) {
            return new End(JobMessages.end(data), JobMessages.doneMs(data));
        }
    }

    /** One accepted job. */
    public final class Record {
        private final JobSpec spec;
        private Status end;
        private double openAsOf;
        private boolean unreadable;

        /** As written: trees of an array of 100,000 tasks would take a third of the heap. */
        private final Int2ObjectMap<Chunk> chunks = new Int2ObjectOpenHashMap<>();

        private int done;
        private int running;
        private int failed;

        /** How many of the jobs that it needs are not known to be done. */
        private int unfinished;

        /** When it was done itself. */
        private OptionalLong doneMs = OptionalLong.empty();

        /** When the last of the jobs was done that it needs and that are done. */
        private OptionalLong readyMs;

        private Record(JobSpec spec) {
            this.spec = spec;
            this.readyMs = OptionalLong.of(spec.acceptedMs());
        }

        /**
         * Of a job that is ready: the time of day at which it was submitted or the last job that it
         * needs was done, whichever is later; empty where a final state does not say.
         */
        public OptionalLong readyMs() {
            return readyMs;
        }

        private void neededIsDone(Record needed) {
            readyMs =
                    readyMs.isPresent() && needed.doneMs.isPresent()
                            ? OptionalLong.of(
                                    Math.max(readyMs.getAsLong(), needed.doneMs.getAsLong()))
                            : OptionalLong.empty();
        }

        /** Whether all jobs that it needs are durably done. */
        public boolean ready() {
            return unfinished == 0;
        }

        /**
         * The jobs that it still waits for; found when asked for, as thousands of jobs may each
         * need hundreds.
         */
        public List<String> awaited() {
            return spec.awaits().stream().filter(id -> !isDone(id)).toList();
        }

        /** Whether a run record of it is of a form not known here: nothing may be done about it. */
        public boolean unreadable() {
            return unreadable;
        }

        /** What its user asked for. */
        public JobSpec spec() {
            return spec;
        }

        /** The final state, or null. */
        public Status end() {
            return end;
        }

        /** Of a job that has ended: a time at which it had not. */
        public double openAsOf() {
            return openAsOf;
        }

        /**
         * The durable lines, one for each task. A divided record that a controller of an older
         * version has written whole again leaves old lines in its parts: the newer line counts.
         */
        public Collection<RunRecord> lines() {
            Map<Integer, RunRecord> newest = new LinkedHashMap<>();
            for (Chunk chunk : chunks.values()) {
                for (RunRecord line : RunRecord.read(Json.read(chunk.json))) {
                    newest.merge(line.task(), line, RunRecord::newer);
                }
            }
            return newest.values();
        }

        /**
         * Counted with each change, for that chunk alone: neither news nor a question costs a look
         * at the whole array.
         */
        private void put(int number, Chunk chunk) {
            Chunk old = chunk == null ? chunks.remove(number) : chunks.put(number, chunk);
            done += (chunk == null ? 0 : chunk.done) - (old == null ? 0 : old.done);
            running += (chunk == null ? 0 : chunk.running) - (old == null ? 0 : old.running);
            failed += (chunk == null ? 0 : chunk.failed) - (old == null ? 0 : old.failed);
        }

        /** The body of the answer to a query for its state. */
        public JsonNode answer() {
            if (end != null) {
                return JobMessages.state(
                        spec.id(), end, end == Status.DONE ? spec.tasks() : done, 0);
            }
            ObjectNode state =
                    JobMessages.state(
                            spec.id(),
                            running > 0 ? Status.RUNNING : Status.PENDING,
                            done,
                            running);
            if (!ready()) {
                // Users ask every few seconds: a list as long as a value allows would be most of
                // what this node sends.
                spec.awaits().stream()
                        .filter(id -> !isDone(id))
                        .limit(MOST_SHOWN)
                        .forEach(state.withArray("waitsFor")::add);
                if (unfinished > MOST_SHOWN) {
                    state.put("waitsForMore", unfinished - MOST_SHOWN);
                }
            }
            // Why a job that was submitted with a mistake does not get on.
            return failed > 0 ? state.put("failed", failed) : state;
        }
    }

    private final Map<String, Record> records = new HashMap<>();
    private final Map<String, End> endsBeforeJobs = new HashMap<>();

    /** Ids that some job needs and whose own job a reading has not brought yet. */
    private final Map<String, String> namedBeforeJobs = new HashMap<>();

    private final Map<String, List<String>> inShared = new HashMap<>();

    /** Of each job in a shared record, the record that named it last. */
    private final Map<String, String> sharedBy = new HashMap<>();

    /** Of each job that is not over, those that need it. */
    private final Map<String, List<Record>> dependants = new HashMap<>();

    /** Jobs that the last news concern beside the one that they are about. */
    private final Set<String> affected = new LinkedHashSet<>();

    /** Cancelled jobs of which a durable line calls a task alive. */
    private final Set<Record> cancelledAlive = new HashSet<>();

    /** Those tasks by machine; null where news has come since it was made. */
    private Map<String, List<CancelledAttempt>> cancelledOn;

    private final DoubleSupplier knownUpTo;

    /** An attempt of a cancelled job that may be alive on its machine by the durable lines. */
    public record CancelledAttempt(String task, int number, double openAsOf) {}

    /**
     * @param knownUpTo a time up to which all changes are known here
     */
    public Catalog(DoubleSupplier knownUpTo) {
        this.knownUpTo = knownUpTo;
    }

    /**
     * A time as of which none of the cancelled jobs was cancelled that may have attempts on the
     * machine beside those settled.
     */
    public double openAsOf(String machine, Predicate<CancelledAttempt> settled) {
        if (cancelledOn == null) {
            cancelledOn = new HashMap<>();
            cancelledAlive.forEach(this::byMachine);
        }
        return cancelledOn.getOrDefault(machine, List.of()).stream()
                .filter(settled.negate())
                .mapToDouble(CancelledAttempt::openAsOf)
                .min()
                .orElse(Double.POSITIVE_INFINITY);
    }

    private void byMachine(Record record) {
        for (RunRecord line : record.lines()) {
            if (line.state() == RunRecord.State.LIVE) {
                cancelledOn
                        .computeIfAbsent(line.machine(), m -> new ArrayList<>())
                        .add(
                                new CancelledAttempt(
                                        record.spec.id() + "/" + line.task(),
                                        line.attempt(),
                                        record.openAsOf));
            }
        }
    }

    /** To be called after each change of a job's final state or lines. */
    private void trackCancelled(Record record) {
        if (record.end != Status.CANCELLED) {
            return;
        }
        if (record.running > 0) {
            cancelledAlive.add(record);
        } else {
            cancelledAlive.remove(record);
        }
        cancelledOn = null;
    }

    /** The record of an accepted job, or null. */
    public Record get(String id) {
        return records.get(id);
    }

    /** Shared run records, with the jobs that each holds. */
    public Map<String, List<String>> shared() {
        return inShared;
    }

    /** The records of all accepted jobs. */
    public Collection<Record> all() {
        return records.values();
    }

    /**
     * The replica's news; keys of other slices are not for here. Accepted jobs and final states
     * never go away.
     */
    public void changed(String key, JsonNode data) {
        if (data == null) {
            return;
        }
        if (key.startsWith(Keys.JOB)) {
            String named = key.substring(Keys.JOB.length());
            String known = namedBeforeJobs.remove(named);
            String id = known == null ? named : known;
            Record record = new Record(JobMessages.fromDurable(id, data).needing(this::shared));
            if (records.putIfAbsent(id, record) == null) {
                awaits(record);
                End end = endsBeforeJobs.remove(id);
                if (end != null && record.end == null) {
                    end(record, end);
                }
            }
        } else if (key.startsWith(Keys.END)) {
            String id = key.substring(Keys.END.length());
            End end = End.of(data);
            Record record = records.get(id);
            if (record == null) {
                // A reading in pages brings the keys in their order, ends before jobs.
                endsBeforeJobs.put(id, end);
            } else if (record.end == null) {
                end(record, end);
            } else if (record.end != end.status) {
                LOG.error(
                        "{} was {} and is called {} in the state service",
                        id,
                        record.end,
                        end.status);
            }
        } else if (key.startsWith(Keys.SHARED)) {
            sharedRecord(key, data);
        } else if (key.startsWith(Keys.RUN)) {
            int slash = key.lastIndexOf('/');
            lines(
                    key.substring(Keys.RUN.length(), slash),
                    Integer.parseInt(key.substring(slash + 1)),
                    data);
        }
    }

    /**
     * What is left out now is over with nothing alive, and its old lines must not come to life
     * under the next leader; unless another record holds it now, whichever of the two is read
     * first.
     */
    private void sharedRecord(String key, JsonNode data) {
        inShared.getOrDefault(key, List.of()).stream()
                .filter(id -> !data.has(id) && sharedBy.remove(id, key))
                .forEach(id -> lines(id, 0, null));
        List<String> ids = new ArrayList<>();
        data.fieldNames().forEachRemaining(ids::add);
        inShared.put(key, ids);
        for (String id : ids) {
            sharedBy.put(id, key);
            lines(id, 0, data.get(id));
        }
    }

    /**
     * The id as the job itself has it: a copy for each job that needs it would fill the heap where
     * thousands need hundreds, and descriptions stay for ever.
     */
    private String shared(String id) {
        Record record = records.get(id);
        if (record != null) {
            return record.spec.id();
        }
        String known = namedBeforeJobs.putIfAbsent(id, id);
        return known == null ? id : known;
    }

    private boolean isDone(String id) {
        Record record = records.get(id);
        return record != null && record.end == Status.DONE;
    }

    /** Notes what the job needs; it is over at once if any of that is known to be cancelled. */
    private void awaits(Record record) {
        boolean lost = false;
        for (String needed : record.spec.awaits()) {
            Record other = records.get(needed);
            if (other != null && other.end == Status.DONE) {
                record.neededIsDone(other);
                continue;
            }
            record.unfinished++;
            // Also where it is not known yet: a reading in pages may bring it later.
            dependants.computeIfAbsent(needed, n -> new ArrayList<>()).add(record);
            lost |= other != null && other.end == Status.CANCELLED;
        }
        if (lost) {
            end(record, new End(Status.CANCELLED, OptionalLong.empty()));
        }
    }

    /**
     * A job is cancelled if its own final state says so or that of any job that it needs, directly
     * or through others. Both are written once, and what waits cannot be done; so this holds on
     * every node from the moment at which it knows the one final state, and nothing has to be
     * written for the jobs after it. Without recursion, since chains may be long.
     */
    private void end(Record first, End end) {
        first.end = end.status;
        first.doneMs = end.doneMs;
        ArrayDeque<Record> ended = new ArrayDeque<>(List.of(first));
        while (!ended.isEmpty()) {
            Record record = ended.poll();
            record.openAsOf = knownUpTo.getAsDouble();
            if (record.end == Status.DONE) {
                record.chunks.clear();
            }
            trackCancelled(record);
            List<Record> waiting = dependants.remove(record.spec.id());
            for (Record after : waiting == null ? List.<Record>of() : waiting) {
                if (record.end == Status.DONE) {
                    after.unfinished--;
                    after.neededIsDone(record);
                } else if (after.end == null) {
                    after.end = Status.CANCELLED;
                    ended.add(after);
                }
                affected.add(after.spec.id());
            }
        }
    }

    /** The jobs that the news since the last call concern beside those that they are about. */
    public List<String> takeAffected() {
        List<String> all = List.copyOf(affected);
        affected.clear();
        return all;
    }

    private void lines(String id, int chunk, JsonNode data) {
        Record record = records.get(id);
        if (record != null && data != null && !data.isArray()) {
            record.unreadable = true;
            return;
        }
        if (record != null && record.end != Status.DONE) {
            record.put(chunk, data == null ? null : Chunk.of(data));
            trackCancelled(record);
        }
    }
}
