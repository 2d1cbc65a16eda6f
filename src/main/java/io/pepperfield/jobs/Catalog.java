package io.pepperfield.jobs;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.store.Keys;
import it.unimi.dsi.fastutil.ints.Int2ObjectMap;
import it.unimi.dsi.fastutil.ints.Int2ObjectOpenHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All jobs that were ever accepted, as the replica has them; every node answers its users from here. */
public final class Catalog {

    private static final Logger LOG = LoggerFactory.getLogger(Catalog.class);

    /** One accepted job. */
    public static final class Record {
        private final JobSpec spec;
        private Status end;
        private final Int2ObjectMap<JsonNode> chunks = new Int2ObjectOpenHashMap<>();
        /** Users ask more often than chunks change: counted again only after news. */
        private boolean counted;
        private int done;
        private int running;

        private Record(JobSpec spec) {
            this.spec = spec;
        }

        public JobSpec spec() {
            return spec;
        }

        /** The final state, or null. */
        public Status end() {
            return end;
        }

        public Collection<JsonNode> chunks() {
            return chunks.values();
        }

        private void count() {
            counted = true;
            done = 0;
            running = 0;
            for (JsonNode chunk : chunks.values()) {
                for (RunRecord line : RunRecord.read(chunk)) {
                    done += line.state() == RunRecord.State.DONE ? 1 : 0;
                    running += line.state() == RunRecord.State.LIVE ? 1 : 0;
                }
            }
        }

        public JsonNode answer() {
            if (!counted) {
                count();
            }
            if (end != null) {
                return JobMessages.state(spec.id(), end, end == Status.DONE ? spec.tasks() : done, 0);
            }
            return JobMessages.state(spec.id(), running > 0 ? Status.RUNNING : Status.PENDING, done, running);
        }
    }

    private final Map<String, Record> records = new HashMap<>();
    private final Map<String, Status> endsBeforeJobs = new HashMap<>();
    private final Map<String, List<String>> inShared = new HashMap<>();

    public Record get(String id) {
        return records.get(id);
    }

    public Collection<Record> all() {
        return records.values();
    }

    /** The replica's news; keys of other slices are not for here. Accepted jobs and final states never go away. */
    public void changed(String key, JsonNode data) {
        if (data == null) {
            return;
        }
        if (key.startsWith(Keys.JOB)) {
            String id = key.substring(Keys.JOB.length());
            Record record = new Record(JobMessages.fromDurable(id, data));
            record.end = endsBeforeJobs.remove(id);
            records.putIfAbsent(id, record);
        } else if (key.startsWith(Keys.END)) {
            String id = key.substring(Keys.END.length());
            Status end = JobMessages.end(data);
            Record record = records.get(id);
            if (record == null) {
                // A reading in pages brings the keys in their order, ends before jobs.
                endsBeforeJobs.put(id, end);
            } else if (record.end == null) {
                record.end = end;
                if (end == Status.DONE) {
                    record.chunks.clear();
                }
            } else if (record.end != end) {
                LOG.error("{} was {} and is called {} in the state service", id, record.end, end);
            }
        } else if (key.startsWith(Keys.SHARED)) {
            // What is left out now is over with nothing alive: its old lines must not come to life under the next leader.
            inShared.getOrDefault(key, List.of()).stream().filter(id -> !data.has(id)).forEach(id -> lines(id, 0, null));
            List<String> ids = new ArrayList<>();
            data.fieldNames().forEachRemaining(ids::add);
            inShared.put(key, ids);
            ids.forEach(id -> lines(id, 0, data.get(id)));
        } else if (key.startsWith(Keys.RUN)) {
            int slash = key.lastIndexOf('/');
            lines(key.substring(Keys.RUN.length(), slash), Integer.parseInt(key.substring(slash + 1)), data);
        }
    }

    private void lines(String id, int chunk, JsonNode data) {
        Record record = records.get(id);
        if (record != null && record.end != Status.DONE) {
            record.counted = false;
            if (data == null) {
                record.chunks.remove(chunk);
            } else {
                record.chunks.put(chunk, data);
            }
        }
    }
}
