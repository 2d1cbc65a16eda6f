package io.pepperfield.recovery;

import io.pepperfield.store.KeyValueStore.KeyValue;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.apache.commons.compress.archivers.tar.TarArchiveEntry;
import org.apache.commons.compress.archivers.tar.TarArchiveInputStream;

/**
 * The summary of an archive, which is read and verified an entry at a time.
 *
 * @param revision revision of the state service that the archive represents
 * @param controllers names of the cluster's controllers
 * @param keyCounts number of keys by the path segment after the service's prefix
 */
public record StateArchive(
        long revision, List<String> controllers, Map<String, Integer> keyCounts) {

    /** Far larger than any entry, so that a damaged header cannot exhaust the memory. */
    private static final long MAX_ENTRY_BYTES = 64L * 1024 * 1024;

    /** Receives the keys of an archive in the order of its pages, and then the changes. */
    public interface Visitor {
        /** Visits a key in a page. */
        void visitItem(KeyValue item);

        /** Visits a change since the first page; a null value deletes the key. */
        void visitChange(KeyValue item);
    }

    /**
     * Verifies an archive and counts its keys. The file is read twice, since the changes come last
     * and the pages may not fit into memory.
     */
    public static StateArchive inspect(Path file) throws ArchiveException {
        LastChangeCollector lastChanges = new LastChangeCollector();
        visit(file, lastChanges);
        KeyCounter counter = new KeyCounter(lastChanges.exists);
        ArchiveManifest manifest = visit(file, counter);
        return new StateArchive(manifest.revision(), manifest.controllers(), counter.keyCounts);
    }

    /** Reads an archive; the visited keys are verified only once this method has returned. */
    static ArchiveManifest visit(Path file, Visitor visitor) throws ArchiveException {
        List<ArchiveManifest.Entry> entriesRead = new ArrayList<>();
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file));
                TarArchiveInputStream tar = new TarArchiveInputStream(in)) {
            for (TarArchiveEntry entry = tar.getNextEntry();
                    entry != null;
                    entry = tar.getNextEntry()) {
                byte[] content = readContent(tar, entry);
                if (entry.getName().equals(ArchiveManifest.NAME)) {
                    ArchiveManifest manifest = ArchiveManifest.decode(content);
                    verifyEntries(manifest.entries(), entriesRead);
                    return manifest;
                }
                visitEntry(entry.getName(), content, entriesRead.size() + 1, visitor);
                entriesRead.add(
                        new ArchiveManifest.Entry(
                                entry.getName(), content.length, ArchiveWriter.sha256(content)));
            }
        } catch (IOException | IllegalArgumentException e) {
            throw new ArchiveException(
                    "after "
                            + entriesRead.size()
                            + " entries: archive is damaged or cannot be read ("
                            + e.getMessage()
                            + ")");
        }
        throw new ArchiveException("archive truncated: no " + ArchiveManifest.NAME);
    }

    private static byte[] readContent(TarArchiveInputStream tar, TarArchiveEntry entry)
            throws IOException, ArchiveException {
        if (entry.getSize() > MAX_ENTRY_BYTES) {
            throw new ArchiveException(
                    entry.getName() + ": entry too large, " + entry.getSize() + " bytes");
        }
        byte[] content = tar.readNBytes((int) entry.getSize());
        if (content.length < entry.getSize()) {
            throw new ArchiveException(entry.getName() + ": entry truncated");
        }
        return content;
    }

    private static void visitEntry(String name, byte[] content, int number, Visitor visitor)
            throws ArchiveException {
        if (name.equals(ArchiveWriter.CHANGES_ENTRY)) {
            ArchiveItemsCodec.decode(name, content).forEach(visitor::visitChange);
        } else if (name.equals(ArchiveWriter.pageName(number))) {
            ArchiveItemsCodec.decode(name, content).forEach(visitor::visitItem);
        } else {
            throw new ArchiveException(name + ": not an entry of a pepperfield archive");
        }
    }

    private static void verifyEntries(
            List<ArchiveManifest.Entry> expected, List<ArchiveManifest.Entry> entriesRead)
            throws ArchiveException {
        for (int i = 0; i < Math.max(expected.size(), entriesRead.size()); i++) {
            if (i >= entriesRead.size()) {
                throw new ArchiveException(
                        expected.get(i).name()
                                + ": entry in the manifest is missing from the archive");
            }
            if (i >= expected.size() || !expected.get(i).equals(entriesRead.get(i))) {
                throw new ArchiveException(
                        entriesRead.get(i).name() + ": entry does not match the manifest");
            }
        }
    }

    /** Collects whether each changed key exists after its last change. */
    private static final class LastChangeCollector implements Visitor {
        private final Map<String, Boolean> exists = new HashMap<>();

        @Override
        public void visitItem(KeyValue item) {}

        @Override
        public void visitChange(KeyValue item) {
            exists.put(item.key(), item.value() != null);
        }
    }

    /** Counts keys by the path segment after the service's prefix. */
    private static final class KeyCounter implements Visitor {
        private final Map<String, Integer> keyCounts = new TreeMap<>();
        private final Map<String, Boolean> existsAfterChanges;

        KeyCounter(Map<String, Boolean> existsAfterChanges) {
            this.existsAfterChanges = existsAfterChanges;
            existsAfterChanges.forEach(
                    (key, exists) -> {
                        if (exists) {
                            count(key);
                        }
                    });
        }

        @Override
        public void visitItem(KeyValue item) {
            if (!existsAfterChanges.containsKey(item.key())) {
                count(item.key());
            }
        }

        @Override
        public void visitChange(KeyValue item) {}

        private void count(String key) {
            keyCounts.merge(key.split("/", 3)[1], 1, Integer::sum);
        }
    }
}
