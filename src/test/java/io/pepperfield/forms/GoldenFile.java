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

/** The content of one golden file: forms with their names, one a line, in the order of adding. */
public final class GoldenFile {

    /** Reads a form and says what was read, or writes it again; may fail. */
    public interface Decoder {
        /** What is read, null where the form is refused. */
        String decode(JsonNode form) throws Exception;
    }

    private final StringBuilder text = new StringBuilder();

    /** An input of the tests, which no run writes. */
    public static byte[] readInput(String name) {
        try (InputStream in = GoldenFile.class.getResourceAsStream("/golden/input/" + name)) {
            return in.readAllBytes();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** An input that is JSON. */
    public static JsonNode readJsonInput(String name) {
        return Json.read(readInput(name));
    }

    /** Adds a form. */
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

    /** Adds an answer with its status, and the seconds until a retry where it names them. */
    public void add(String name, HttpReply reply) {
        String later = reply.retryAfterS() > 0 ? " after " + reply.retryAfterS() + " s" : "";
        add(name, reply.status() + later + " " + new String(reply.body(), StandardCharsets.UTF_8));
    }

    /**
     * Adds a form and what is read of it; then, for each of its fields, what is read where it is
     * missing and where it has a value of another type. A reader that looks for another name reads
     * the whole form as if that field were missing.
     */
    public void addWithFieldMutations(String name, JsonNode form, Decoder reader) {
        add(name, form);
        String whole = result(reader, form);
        add(name + " read", whole);
        for (List<String> path : fields(form, List.of())) {
            String field = String.join(".", path);
            ObjectNode missing = form.deepCopy();
            ((ObjectNode) parent(missing, path)).remove(path.get(path.size() - 1));
            addOther(name + " without " + field, result(reader, missing), whole);
            ObjectNode mistyped = form.deepCopy();
            ((ObjectNode) parent(mistyped, path)).putObject(path.get(path.size() - 1));
            addOther(name + " with another type of " + field, result(reader, mistyped), whole);
        }
    }

    private void addOther(String name, String read, String whole) {
        add(name, read.equals(whole) ? "read alike" : read);
    }

    /** Adds a form, which must come back byte for byte from reading and writing it again. */
    public void addRoundTrip(String name, byte[] form, Decoder rewrite) {
        add(name, form);
        checkRewritten(name, form, rewrite);
    }

    private static void checkRewritten(String name, byte[] form, Decoder rewrite) {
        String written = new String(form, StandardCharsets.UTF_8);
        String again = result(rewrite, Json.read(form));
        if (!again.equals(written)) {
            throw new AssertionError(name + " was " + written + " and is rewritten as " + again);
        }
    }

    /** As {@link #addRoundTrip(String, byte[], Decoder)}. */
    public void addRoundTrip(String name, JsonNode form, Decoder rewrite) {
        addRoundTrip(name, Json.write(form), rewrite);
    }

    /** As {@link #addRoundTrip} and {@link #addWithFieldMutations}. */
    public void addRoundTripWithFieldMutations(String name, byte[] form, Decoder rewrite) {
        checkRewritten(name, form, rewrite);
        addWithFieldMutations(name, Json.read(form), rewrite);
    }

    /** As {@link #addRoundTripWithFieldMutations(String, byte[], Decoder)}. */
    public void addRoundTripWithFieldMutations(String name, JsonNode form, Decoder rewrite) {
        addRoundTripWithFieldMutations(name, Json.write(form), rewrite);
    }

    private static String result(Decoder reader, JsonNode form) {
        try {
            String read = reader.decode(form);
            return read == null ? "refused" : read;
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

    /** The paths of the fields, and of those of objects and arrays in them. */
    private static List<List<String>> fields(JsonNode node, List<String> prefix) {
        List<List<String>> paths = new ArrayList<>();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            paths.add(with(prefix, name));
            if (prefix.isEmpty()) {
                paths.addAll(fields(node.path(name), with(prefix, name)));
            }
        }
        for (int i = 0; prefix.size() == 1 && node.isArray() && i < node.size(); i++) {
            paths.addAll(fields(node.path(i), with(prefix, String.valueOf(i))));
        }
        return paths;
    }

    private static List<String> with(List<String> prefix, String name) {
        List<String> path = new ArrayList<>(prefix);
        path.add(name);
        return path;
    }

    /** The lines. */
    String content() {
        return text.toString();
    }
}
