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

/** An archive holds the state service's content at one revision, or is rejected as damaged. */
class StateArchiveTest implements SnapshotSource {

    private static final int PAGE_SIZE = 3;

    /** A key's value and its modification revision. */
    private record Entry(String data, long modRevision) {}

    @TempDir private Path directory;

    private final TreeMap<String, Entry> keys = new TreeMap<>();
    private final List<KeyValue> events = new ArrayList<>();
    private final List<Runnable> betweenPages = new ArrayList<>();
    private long revision;
    private int compactedResponses;
    private boolean sourceFails;
    private Path file;

    @BeforeEach
    void setUp() {
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
        if (sourceFails && !after.isEmpty()) {
            throw new IOException("does not answer");
        }
        List<KeyValue> items = new ArrayList<>();
        for (Map.Entry<String, Entry> entry : keys.tailMap(after, after.isEmpty()).entrySet()) {
            if (items.size() == PAGE_SIZE) {
                return new Page(items, true, revision);
            }
            JsonNode data = Json.object().put("x", entry.getValue().data);
            items.add(new KeyValue(entry.getKey(), data, entry.getValue().modRevision));
        }
        return new Page(items, false, revision);
    }

    @Override
    public Page changesSince(long since) throws IOException {
        if (compactedResponses > 0) {
            compactedResponses--;
            throw new ChangesCompactedException(since);
        }
        List<KeyValue> changes =
                events.stream().filter(event -> event.modRevision() > since).toList();
        return new Page(changes, false, revision);
    }

    private long export() throws IOException {
        return new ArchiveWriter(this, List.of("node-0", "node-1")).write(file);
    }

    /** The keys and their revisions after the changes are applied to the pages. */
    private static Map<String, Long> archivedRevisions(Path archive) throws ArchiveException {
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

    private Map<String, Long> currentRevisions() {
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
        long archiveRevision = export();
        assertEquals(revision, archiveRevision);
        assertEquals(currentRevisions(), archivedRevisions(file));
        StateArchive archive = StateArchive.inspect(file);
        assertEquals(Map.of("job", 6, "end", 1, "leader", 1, "run", 1), archive.keyCounts());
        assertEquals(List.of("node-0", "node-1"), archive.controllers());
    }

    @Test
    void exportRetriesWhenChangesWereCompacted() throws Exception {
        compactedResponses = 1;
        export();
        assertEquals(currentRevisions(), archivedRevisions(file));
    }

    @Test
    void exportIsAtomicAndDoesNotOverwrite() throws Exception {
        sourceFails = true;
        assertThrows(IOException.class, this::export);
        try (var files = Files.list(directory)) {
            assertEquals(List.of(), files.toList());
        }
        sourceFails = false;
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
        byte[] archive = Files.readAllBytes(file);
        for (int length = 0; length < lengthWithManifest(archive); length += 97) {
            assertFalse(faultOf(Arrays.copyOf(archive, length)).isEmpty());
        }
        byte[] changed = archive.clone();
        int at = indexOf(archive, "run-000005");
        changed[at + 9] = '9';
        assertEquals("pages/000002.json: entry does not match the manifest", faultOf(changed));
        assertEquals("archive truncated: no manifest.json", faultOf(new byte[2048]));
        byte[] foreign = archive.clone();
        foreign[indexOf(archive, "pepperfield-state")] = 'x';
        assertEquals("manifest.json: not of a pepperfield archive", faultOf(foreign));
        byte[] unknown = archive.clone();
        unknown[indexOf(archive, "\"format\":1") + 9] = '7';
        assertEquals("manifest.json: format 7 is not known", faultOf(unknown));
    }

    /** Length up to the manifest; the padding of the tar file after it may be missing. */
    private static int lengthWithManifest(byte[] archive) {
        return indexOf(archive, "pepperfield-state");
    }

    private static int indexOf(byte[] in, String text) {
        int at = new String(in, StandardCharsets.ISO_8859_1).indexOf(text);
        assertTrue(at >= 0, text);
        return at;
    }
}
