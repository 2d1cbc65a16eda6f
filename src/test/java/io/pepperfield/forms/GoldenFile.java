package io.pepperfield.forms;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * The content of one golden file: encoded forms with their names, one per line, in the order in
 * which they were added.
 */
public final class GoldenFile {

    /** Decodes a form and returns a description of the result, or encodes it again; may fail. */
    public interface Decoder {
        /** Returns the description or the encoded form, or null if the form is rejected. */
        String decode(JsonNode form) throws Exception;
    }

    private final StringBuilder text = new StringBuilder();

    /** Reads an input file of the tests, which is never rewritten with the golden files. */
    public static byte[] readInput(String name) {
        try (InputStream in = GoldenFile.class.getResourceAsStream("/golden/input/" + name)) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads a JSON input file of the tests. */
    public static JsonNode readJsonInput(String name) {
        return Json.read(readInput(name));
    }

    /** Adds a form as text. */
    public void add(String name, String form) {
        text.append(name).append(": ").append(form.strip()).append('\n');
    }

    /** Adds a JSON form, as it is sent or stored. */
    public void add(String name, byte[] form) {
        add(name, new String(form, StandardCharsets.UTF_8));
    }

    /** Adds a JSON form, as it is sent or stored. */
    public void add(String name, JsonNode form) {
        add(name, Json.write(form));
    }

    /** Adds a reply with its status, its body and, if present, the retry delay in seconds. */
    public void add(String name, HttpReply reply) {
        String retryDelay = reply.retryAfterS() > 0 ? " after " + reply.retryAfterS() + " s" : "";
        add(
                name,
                reply.status()
                        + retryDelay
                        + " "
                        + new String(reply.body(), StandardCharsets.UTF_8));
    }

    /**
     * Adds a form and its decoded result; then, for each field, the result of decoding the form
     * without the field and with a value of another type. This detects a decoder that looks for
     * another field name: it decodes the complete form as if the field were missing.
     */
    public void addWithFieldMutations(String name, JsonNode form, Decoder decoder) {
        add(name, form);
        String unmodified = decodeOrError(decoder, form);
        add(name + " read", unmodified);
        for (List<String> path : fieldPaths(form, List.of())) {
            String field = String.join(".", path);
            ObjectNode missing = form.deepCopy();
            ((ObjectNode) parent(missing, path)).remove(path.get(path.size() - 1));
            addMutated(name + " without " + field, decodeOrError(decoder, missing), unmodified);
            ObjectNode mistyped = form.deepCopy();
            ((ObjectNode) parent(mistyped, path)).putObject(path.get(path.size() - 1));
            addMutated(
                    name + " with another type of " + field,
                    decodeOrError(decoder, mistyped),
                    unmodified);
        }
    }

    private void addMutated(String name, String decoded, String unmodified) {
        add(name, decoded.equals(unmodified) ? "read alike" : decoded);
    }

    /** Adds a form and checks that decoding and encoding it again yields the same bytes. */
    public void addRoundTrip(String name, byte[] form, Decoder reencoder) {
        add(name, form);
        checkRoundTrip(name, form, reencoder);
    }

    private static void checkRoundTrip(String name, byte[] form, Decoder reencoder) {
        String original = new String(form, StandardCharsets.UTF_8);
        String reencoded = decodeOrError(reencoder, Json.read(form));
        if (!reencoded.equals(original)) {
            throw new AssertionError(
                    name + ": decoding and re-encoding " + original + " yields " + reencoded);
        }
    }

    /** Like {@link #addRoundTrip(String, byte[], Decoder)}, for a JSON node. */
    public void addRoundTrip(String name, JsonNode form, Decoder reencoder) {
        addRoundTrip(name, Json.write(form), reencoder);
    }

    /** Combines {@link #addRoundTrip} and {@link #addWithFieldMutations}. */
    public void addRoundTripWithFieldMutations(String name, byte[] form, Decoder reencoder) {
        checkRoundTrip(name, form, reencoder);
        addWithFieldMutations(name, Json.read(form), reencoder);
    }

    /** Like {@link #addRoundTripWithFieldMutations(String, byte[], Decoder)}, for a JSON node. */
    public void addRoundTripWithFieldMutations(String name, JsonNode form, Decoder reencoder) {
        addRoundTripWithFieldMutations(name, Json.write(form), reencoder);
    }

    private static String decodeOrError(Decoder decoder, JsonNode form) {
        try {
            String decoded = decoder.decode(form);
            return decoded == null ? "refused" : decoded;
        } catch (RuntimeException e) {
            return "fails";
        } catch (Exception e) {
            return "refused: " + e.getMessage();
        }
    }

    private static JsonNode parent(JsonNode root, List<String> path) {
        JsonNode parent = root;
        for (String field : path.subList(0, path.size() - 1)) {
            parent = parent.isArray() ? parent.path(Integer.parseInt(field)) : parent.path(field);
        }
        return parent;
    }

    /** Returns the paths of all fields, with those of nested objects and array elements. */
    private static List<List<String>> fieldPaths(JsonNode node, List<String> prefix) {
        List<List<String>> paths = new ArrayList<>();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            paths.add(append(prefix, name));
            if (prefix.isEmpty()) {
                paths.addAll(fieldPaths(node.path(name), append(prefix, name)));
            }
        }
        for (int i = 0; prefix.size() == 1 && node.isArray() && i < node.size(); i++) {
            paths.addAll(fieldPaths(node.path(i), append(prefix, String.valueOf(i))));
        }
        return paths;
    }

    private static List<String> append(List<String> prefix, String name) {
        List<String> path = new ArrayList<>(prefix);
        path.add(name);
        return path;
    }

    /** Returns the lines added so far. */
    String content() {
        return text.toString();
    }
}
