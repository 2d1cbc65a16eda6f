package io.pepperfield.recovery;

import io.pepperfield.recovery.SnapshotSource.ChangesCompactedException;
import io.pepperfield.recovery.SnapshotSource.Page;
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
import java.util.Locale;
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
     * Creates a writer that reads from this source.
     *
     * @param controllers of the cluster, by name, for the manifest
     */
    public ArchiveWriter(SnapshotSource source, List<String> controllers) {
        this.source = source;
        this.controllers = List.copyOf(controllers);
    }

    /** The name of the entry with that page. */
    static String pageName(int number) {
        return String.format(Locale.ROOT, "pages/%06d.json", number);
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
        Path partialFile = file.resolveSibling(file.getFileName() + ".part");
        try {
            long revision = writePartial(partialFile);
            flushToDisk(partialFile);
            Files.move(partialFile, file, StandardCopyOption.ATOMIC_MOVE);
            return revision;
        } finally {
            Files.deleteIfExists(partialFile);
        }
    }

    private long writePartial(Path partialFile) throws IOException {
        for (int attempt = 1; ; attempt++) {
            try (OutputStream out = Files.newOutputStream(partialFile);
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
        long firstRevision = writePages(tar, entries);
        Page changes = source.changesSince(firstRevision);
        entries.add(addEntry(tar, CHANGES_ENTRY, ArchiveItemsCodec.encode(changes.items())));
        addEntry(
                tar,
                ArchiveManifest.NAME,
                new ArchiveManifest(changes.revision(), controllers, entries).encode());
        tar.finish();
        return changes.revision();
    }

    /**
     * Writes all keys, a page at a time.
     *
     * @return the revision of the first page; later ones may be newer
     */
    private long writePages(TarArchiveOutputStream tar, List<ArchiveManifest.Entry> entries)
            throws IOException {
        Page page = source.readPage("");
        long firstRevision = page.revision();
        addPage(tar, page, entries);
        while (page.hasMore() && !page.items().isEmpty()) {
            String lastKey = page.items().get(page.items().size() - 1).key();
            page = source.readPage(lastKey);
            addPage(tar, page, entries);
        }
        return firstRevision;
    }

    private static void addPage(
            TarArchiveOutputStream tar, Page page, List<ArchiveManifest.Entry> entries)
            throws IOException {
        String name = pageName(entries.size() + 1);
        entries.add(addEntry(tar, name, ArchiveItemsCodec.encode(page.items())));
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
