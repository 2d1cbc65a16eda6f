package io.pepperfield.recovery;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.forms.GoldenFile;
import io.pepperfield.http.Json;
import io.pepperfield.store.KeyValueStore.KeyValue;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The entries of an archive. */
public final class ArchiveForms {

    private ArchiveForms() {}

    /** Adds the entries to the file. */
    public static void write(GoldenFile file) {
        byte[] page =
                ArchiveItemsCodec.encode(
                        List.of(
                                new KeyValue(
                                        "pepperfield/leader", Json.object().put("node", "a"), 41),
                                new KeyValue("pepperfield/types", null, 42)));
        file.add("name of a page", ArchiveWriter.pageName(12));
        file.add("name of the changes", ArchiveWriter.CHANGES_ENTRY);
        file.add("name of the manifest", ArchiveManifest.NAME);
        file.addRoundTrip("page", page, ArchiveForms::rewriteItems);
        file.addWithFieldMutations(
                "key", Json.read(page).path(0), json -> rewriteItems(Json.array().add(json)));
        ArchiveManifest manifest =
                new ArchiveManifest(
                        42,
                        List.of("node-0", "node-1"),
                        List.of(
                                new ArchiveManifest.Entry(
                                        ArchiveWriter.pageName(1),
                                        page.length,
                                        ArchiveWriter.sha256(page))));
        file.addRoundTripWithFieldMutations(
                "manifest",
                manifest.encode(),
                json -> text(ArchiveManifest.decode(Json.write(json)).encode()));
    }

    private static String rewriteItems(JsonNode json) throws ArchiveException {
        return text(ArchiveItemsCodec.encode(ArchiveItemsCodec.decode("page", Json.write(json))));
    }

    private static String text(byte[] json) {
        return new String(json, StandardCharsets.UTF_8);
    }
}
