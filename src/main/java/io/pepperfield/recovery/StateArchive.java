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
 * Reads and checks an archive, an entry at a time.
 *
 * @param revision of the state service that it amounts to
 * @param controllers of the cluster that it is of
 * @param keyCounts how many there are of each kind
 */
public record StateArchive(
        long revision, List<String> controllers, Map<String, Integer> keyCounts) {

    /** Far more than any entry has: what a damaged header names must not fill the memory. */
    private static final long MAX_ENTRY_BYTES = 64L * 1024 * 1024;

    /** Receives the keys of an archive in their order, and then the changes. */
    public interface Visitor {
        /** A key as a page holds it. */
        void visitItem(KeyValue item);

        /** A change since the first page; null data deletes the key. */
        void visitChange(KeyValue item);
    }

    /**
     * Checks an archive and counts what it holds. It is read twice, since the changes come last and
     * the pages do not fit into memory.
     */
    public static StateArchive inspect(Path file) throws ArchiveException {
        LastChanges changes = new LastChanges();
        visit(file, changes);
        KeyCounter census = new KeyCounter(changes.exists);
        ArchiveManifest manifest = visit(file, census);
        return new StateArchive(manifest.revision(), manifest.controllers(), census.keyCounts);
    }

    /** Reads an archive; what was visited counts only once this has returned. */
    static ArchiveManifest visit(Path file, Visitor visitor) throws ArchiveException {
        List<ArchiveManifest.Entry> seen = new ArrayList<>();
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file));
                TarArchiveInputStream tar = new TarArchiveInputStream(in)) {
            for (TarArchiveEntry entry = tar.getNextEntry();
                    entry != null;
                    entry = tar.getNextEntry()) {
                byte[] content = readContent(tar, entry);
                if (entry.getName().equals(ArchiveManifest.NAME)) {
                    ArchiveManifest manifest = ArchiveManifest.decode(content);
                    verifyEntries(manifest.entries(), seen);
                    return manifest;
                }
                visitEntry(entry.getName(), content, seen.size() + 1, visitor);
                seen.add(
                        new ArchiveManifest.Entry(
                                entry.getName(), content.length, ArchiveWriter.sha256(content)));
            }
        } catch (IOException | IllegalArgumentException e) {
            throw new ArchiveException(
                    "after "
                            + seen.size()
                            + " entries: not a whole archive ("
                            + e.getMessage()
                            + ")");
        }
        throw new ArchiveException("cut off: no " + ArchiveManifest.NAME);
    }

    private static byte[] readContent(TarArchiveInputStream tar, TarArchiveEntry entry)
            throws IOException, ArchiveException {
        if (entry.getSize() > MAX_ENTRY_BYTES) {
            throw new ArchiveException(entry.getName() + ": " + entry.getSize() + " bytes");
        }
        byte[] content = tar.readNBytes((int) entry.getSize());
        if (content.length < entry.getSize()) {
            throw new ArchiveException(entry.getName() + ": cut off");
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
            List<ArchiveManifest.Entry> expected, List<ArchiveManifest.Entry> seen)
            throws ArchiveException {
        for (int i = 0; i < Math.max(expected.size(), seen.size()); i++) {
            if (i >= seen.size()) {
                throw new ArchiveException(expected.get(i).name() + ": is missing");
            }
            if (i >= expected.size() || !expected.get(i).equals(seen.get(i))) {
                throw new ArchiveException(seen.get(i).name() + ": not as the manifest says");
            }
        }
    }

    /** The changes, of which only the last of each key counts. */
    private static final class LastChanges implements Visitor {
        private final Map<String, Boolean> exists = new HashMap<>();

        @Override
        public void visitItem(KeyValue item) {}

        @Override
        public void visitChange(KeyValue item) {
            exists.put(item.key(), item.value() != null);
        }
    }

    /** Counts keys by what stands between the service's prefix and the next slash. */
    private static final class KeyCounter implements Visitor {
        private final Map<String, Integer> keyCounts = new TreeMap<>();
        private final Map<String, Boolean> changed;

        KeyCounter(Map<String, Boolean> changed) {
            this.changed = changed;
            changed.forEach(
                    (key, exists) -> {
                        if (exists) {
                            count(key);
                        }
                    });
        }

        @Override
        public void visitItem(KeyValue item) {
            if (!changed.containsKey(item.key())) {
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
