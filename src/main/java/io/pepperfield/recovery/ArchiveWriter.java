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
 * Writes all keys into an archive, a page at a time. Later pages may be of newer revisions than the
 * first one, so the changes since the first page are read after the last one. Applied to the pages,
 * they give the state service's content at a single revision: a key that has not changed since the
 * first page has its value of then, and every other key is among the changes.
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
     * @param controllers names of the cluster's controllers, for the manifest
     */
    public ArchiveWriter(SnapshotSource source, List<String> controllers) {
        this.source = source;
        this.controllers = List.copyOf(controllers);
    }

    /** The name of the entry of the page with this number, which starts at 1. */
    static String pageName(int number) {
        return String.format(Locale.ROOT, "pages/%06d.json", number);
    }

    /** The checksum of an entry's content as recorded in the manifest. */
    static String sha256(byte[] bytes) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(bytes));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available on this Java platform", e);
        }
    }

    /**
     * Writes the archive; the file appears only once it is complete.
     *
     * @return the revision that the archive represents
     */
    public long write(Path file) throws IOException {
        if (Files.exists(file)) {
            throw new FileAlreadyExistsException(file.toString(), null, "file already exists");
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
                // The changes since the first page were compacted before they were read: starts
                // again with the first page.
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
     * @return the revision of the first page; later pages may be newer
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

    /**
     * Without this, a file that is renamed before its content is on disk may be empty after a
     * crash.
     */
    private static void flushToDisk(Path file) throws IOException {
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
            channel.force(true);
        }
    }
}
