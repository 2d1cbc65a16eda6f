package io.pepperfield.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.List;

/**
 * The last entry of an archive, against which the others are verified.
 *
 * @param revision revision of the state service that the archive represents once the changes are
 *     applied to the pages
 * @param controllers names of the cluster's controllers
 * @param entries the other entries, in the order in which they are stored
 */
record ArchiveManifest(long revision, List<String> controllers, List<Entry> entries) {

    /** Name of the manifest's entry. */
    static final String NAME = "manifest.json";

    private static final String KIND = "pepperfield-state";
    private static final int FORMAT = 1;

    /** Name, length and checksum of an entry before the manifest. */
    record Entry(String name, long bytes, String sha256) {}

    byte[] encode() {
        ObjectNode root =
                Json.object().put("kind", KIND).put("format", FORMAT).put("revision", revision);
        controllers.forEach(root.putArray("controllers")::add);
        ArrayNode entryNodes = root.putArray("entries");
        entries.forEach(
                entry ->
                        entryNodes
                                .addObject()
                                .put("name", entry.name)
                                .put("bytes", entry.bytes)
                                .put("sha256", entry.sha256));
        return Json.write(root);
    }

    static ArchiveManifest decode(byte[] bytes) throws ArchiveException {
        JsonNode root = Json.read(bytes);
        if (root == null || !root.path("kind").asText().equals(KIND)) {
            throw new ArchiveException(NAME + ": not of a pepperfield archive");
        }
        if (root.path("format").asInt() != FORMAT) {
            throw new ArchiveException(NAME + ": format " + root.path("format") + " is not known");
        }
        if (!root.path("revision").isIntegralNumber()) {
            throw new ArchiveException(NAME + ": no revision");
        }
        List<String> controllers = new ArrayList<>();
        root.path("controllers").forEach(name -> controllers.add(name.asText()));
        List<Entry> entries = new ArrayList<>();
        root.path("entries")
                .forEach(
                        entry ->
                                entries.add(
                                        new Entry(
                                                entry.path("name").asText(),
                                                entry.path("bytes").asLong(-1),
                                                entry.path("sha256").asText())));
        return new ArchiveManifest(root.path("revision").longValue(), controllers, entries);
    }
}
