package io.pepperfield.recovery;

import io.pepperfield.recovery.SnapshotSource.ChangesCompactedException;
import io.pepperfield.recovery.SnapshotSource.Page;
import io.pepperfield.store.KeyValueStore.KeyValue;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.channels.FileChannel;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.apache.commons.compress.archivers.tar.TarArchiveEntry;
import org.apache.commons.compress.archivers.tar.TarArchiveOutputStream;

/**
 * Writes all keys into an archive, a page at a time. Later pages may be newer than the first one;
 * the changes since the first, read after the last, make of them what the state service held at one
 * revision: a key that has not changed since the first page is as it was then, and every other one
 * is among the changes.
 */
public final class ArchiveWriter {

    /** The name of the entry with the changes. */
    static final String CHANGES_ENTRY = "changes.json";

    private static final int MAX_ATTEMPTS = 3;

    private final SnapshotSource source;
    private final List<String> controllers;

    /**
     * @param controllers of the cluster, by name, for the manifest
     */
    public ArchiveWriter(SnapshotSource source, List<String> controllers) {
        this.source = source;
        this.controllers = List.copyOf(controllers);
    }

    /** The name of the entry with that page. */
    static String pageName(int number) {
        return String.format("pages/%06d.json", number);
    }

    /** The checksum that the manifest holds of an entry. */
    static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    /**
     * Writes the archive; the file appears only once it is whole.
     *
     * @return the revision that it amounts to
     */
    public long write(Path file) throws IOException {
        if (Files.exists(file)) {
            throw new FileAlreadyExistsException(file.toString(), null, "is there already");
        }
        Path part = file.resolveSibling(file.getFileName() + ".part");
        try {
            long revision = writePartial(part);
            flushToDisk(part);
            Files.move(part, file, StandardCopyOption.ATOMIC_MOVE);
            return revision;
        } finally {
            Files.deleteIfExists(part);
        }
    }

    private long writePartial(Path part) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try (OutputStream out = Files.newOutputStream(part);
                    TarArchiveOutputStream tar = new TarArchiveOutputStream(out)) {
                return writeEntries(tar);
            } catch (ChangesCompactedException e) {
                // Too much has changed while the pages were read: they are read once more.
                if (attempt == MAX_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    private long writeEntries(TarArchiveOutputStream tar) throws IOException {
        List<ArchiveManifest.Entry> entries = new ArrayList<>();
        long first = -1;
        String after = "";
        boolean more = true;
        while (more) {
            Page page = source.readPage(after);
            first = first < 0 ? page.revision() : first;
            List<KeyValue> items = page.items();
            more = page.more() && !items.isEmpty();
            after = items.isEmpty() ? after : items.get(items.size() - 1).key();
            entries.add(
                    addEntry(tar, pageName(entries.size() + 1), ArchiveItemsCodec.write(items)));
        }
        Page changes = source.changesSince(first);
        entries.add(addEntry(tar, CHANGES_ENTRY, ArchiveItemsCodec.write(changes.items())));
        addEntry(
                tar,
                ArchiveManifest.NAME,
                new ArchiveManifest(changes.revision(), controllers, entries).write());
        tar.finish();
        return changes.revision();
    }

    private static ArchiveManifest.Entry addEntry(
            TarArchiveOutputStream tar, String name, byte[] content) throws IOException {
        TarArchiveEntry entry = new TarArchiveEntry(name);
        entry.setSize(content.length);
        tar.putArchiveEntry(entry);
        tar.write(content);
        tar.closeArchiveEntry();
        return new ArchiveManifest.Entry(name, content.length, sha256(content));
    }

    /** A file that is moved into place before its content is on the disk may come back empty. */
    private static void flushToDisk(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }
}
