package io.pepperfield.recovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import io.pepperfield.store.KeyValueStore.KeyValue;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An archive is what the state service held at one revision, or it is none. */
class StateArchiveTest implements SnapshotSource {

    private static final int PAGE = 3;

    /** A key's value and its revision. */
    private record Entry(String data, long modRevision) {}

    @TempDir private Path directory;

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final List<KeyValue> events = new ArrayList<>();
    private final List<Runnable> betweenPages = new ArrayList<>();
    private long revision;
    private int forgotten;
    private boolean fails;
    private Path file;

    @BeforeEach
    void fill() {
        file = directory.resolve("state.tar");
        for (int i = 0; i < 8; i++) {
            set("job/run-00000" + i, "job");
        }
        set("leader", "node-0");
    }

    private void set(String key, String data) {
        String name = "pepperfield/" + key;
        keys.put(name, new Entry(data, ++revision));
        events.add(new KeyValue(name, Json.object().put("x", data), revision));
    }

    private void delete(String key) {
        keys.remove("pepperfield/" + key);
        events.add(new KeyValue("pepperfield/" + key, null, ++revision));
    }

    @Override
    public Page readPage(String after) throws IOException {
        if (!after.isEmpty() && !betweenPages.isEmpty()) {
            betweenPages.remove(0).run();
        }
        if (fails && !after.isEmpty()) {
            throw new IOException("does not answer");
        }
        List<KeyValue> items = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : keys.tailMap(after, after.isEmpty()).entrySet()) {
            if (items.size() == PAGE) {
                return new Page(items, true, revision);
            }
            JsonNode data = Json.object().put("x", entry.getValue().data);
            items.add(new KeyValue(entry.getKey(), data, entry.getValue().modRevision));
        }
        return new Page(items, false, revision);
    }

    @Override
    public Page changesSince(long since) throws IOException {
        if (forgotten > 0) {
            forgotten--;
            throw new ChangesCompactedException(since);
        }
        List<KeyValue> news = events.stream().filter(event -> event.modRevision() > since).toList();
        return new Page(news, false, revision);
    }

    private long export() throws IOException {
        return new ArchiveWriter(this, List.of("node-0", "node-1")).write(file);
    }

    /** What the pages with the changes amount to. */
    private static Map<String, Long> content(Path archive) throws ArchiveException {
        Map<String, Long> modRevisions = new TreeMap<>();
        StateArchive.visit(
                archive,
                new StateArchive.Visitor() {
                    @Override
                    public void visitItem(KeyValue item) {
                        modRevisions.put(item.key(), item.modRevision());
                    }

                    @Override
                    public void visitChange(KeyValue item) {
                        if (item.value() == null) {
                            modRevisions.remove(item.key());
                        } else {
                            modRevisions.put(item.key(), item.modRevision());
                        }
                    }
                });
        return modRevisions;
    }

    private Map<String, Long> now() {
        Map<String, Long> modRevisions = new TreeMap<>();
        keys.forEach((key, entry) -> modRevisions.put(key, entry.modRevision));
        return modRevisions;
    }

    @Test
    void archiveIsConsistentWhenKeysChangeBetweenPages() throws Exception {
        betweenPages.add(() -> set("job/run-000000", "again"));
        betweenPages.add(
                () -> {
                    delete("job/run-000007");
                    delete("job/run-000001");
                    set("end/run-000003", "done");
                    set("run/run-000004/0", "lines");
                });
        long of = export();
        assertEquals(revision, of);
        assertEquals(now(), content(file));
        StateArchive archive = StateArchive.inspect(file);
        assertEquals(Map.of("job", 6, "end", 1, "leader", 1, "run", 1), archive.keyCounts());
        assertEquals(List.of("node-0", "node-1"), archive.controllers());
    }

    @Test
    void exportRetriesWhenChangesWereCompacted() throws Exception {
        forgotten = 1;
        export();
        assertEquals(now(), content(file));
    }

    @Test
    void exportIsAtomicAndDoesNotOverwrite() throws Exception {
        fails = true;
        assertThrows(IOException.class, this::export);
        try (var left = Files.list(directory)) {
            assertEquals(List.of(), left.toList());
        }
        fails = false;
        export();
        assertThrows(FileAlreadyExistsException.class, this::export);
    }

    private String faultOf(byte[] bytes) throws IOException {
        Path damaged = Files.write(directory.resolve("damaged.tar"), bytes);
        return assertThrows(ArchiveException.class, () -> StateArchive.inspect(damaged))
                .getMessage();
    }

    @Test
    void inspectReportsTheFirstFault() throws Exception {
        export();
        byte[] whole = Files.readAllBytes(file);
        for (int length = 0; length < lengthWithManifest(whole); length += 97) {
            assertFalse(faultOf(Arrays.copyOf(whole, length)).isEmpty());
        }
        byte[] changed = whole.clone();
        int at = indexOf(whole, "run-000005");
        changed[at + 9] = '9';
        assertEquals("pages/000002.json: not as the manifest says", faultOf(changed));
        assertEquals("cut off: no manifest.json", faultOf(new byte[2048]));
        byte[] foreign = whole.clone();
        foreign[indexOf(whole, "pepperfield-state")] = 'x';
        assertEquals("manifest.json: not of a pepperfield archive", faultOf(foreign));
        byte[] unknown = whole.clone();
        unknown[indexOf(whole, "\"format\":1") + 9] = '7';
        assertEquals("manifest.json: format 7 is not known", faultOf(unknown));
    }

    /** Behind the manifest a tar archive has nothing but padding, which may be missing. */
    private static int lengthWithManifest(byte[] whole) {
        return indexOf(whole, "pepperfield-state");
    }

    private static int indexOf(byte[] in, String text) {
        int at = new String(in, StandardCharsets.ISO_8859_1).indexOf(text);
        assertTrue(at >= 0, text);
        return at;
    }
}
