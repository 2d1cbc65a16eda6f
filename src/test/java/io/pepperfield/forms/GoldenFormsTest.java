package io.pepperfield.forms;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import io.pepperfield.admission.AdmissionForms;
import io.pepperfield.peer.PeerForms;
import io.pepperfield.recovery.ArchiveForms;
import io.pepperfield.rollout.RolloutCommandForms;
import io.pepperfield.rollout.RolloutForms;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against unintended changes of external and persistent formats: messages, stored values,
 * keys, settings, deployment files and the command line must match the golden files byte for byte.
 * With {@code -Dpepperfield.golden.write=true} the golden files are rewritten, and the test fails.
 */
class GoldenFormsTest {

    private static final Path GOLDEN = Path.of("src", "test", "resources", "golden");
    private static final Path DEPLOY = Path.of("deploy");
    private static final String WRITE_PROPERTY = "pepperfield.golden.write";

    /** Adds the forms of one golden file. */
    private interface FormsWriter {
        void write(GoldenFile file) throws Exception;
    }

    private static final Map<String, FormsWriter> WRITERS_BY_FILE =
            new TreeMap<>(
                    Map.ofEntries(
                            Map.entry("keys.txt", StoredForms::writeKeys),
                            Map.entry("stored-values.txt", StoredForms::write),
                            Map.entry("stored-versions.txt", RolloutForms::write),
                            Map.entry("rollout-commands.txt", RolloutCommandForms::write),
                            Map.entry("archive.txt", ArchiveForms::write),
                            Map.entry("users.txt", UserForms::write),
                            Map.entry("user-answers.txt", UserAnswerForms::write),
                            Map.entry("workers.txt", WorkerForms::write),
                            Map.entry("controllers.txt", PeerForms::write),
                            Map.entry("admission.txt", AdmissionForms::write),
                            Map.entry("cloud.txt", CloudForms::write),
                            Map.entry("state-service.txt", StateServiceForms::write),
                            Map.entry("http.txt", HttpForms::write),
                            Map.entry("listener.txt", ListenerForms::write),
                            Map.entry("platform-settings.txt", SettingsForms::writePlatform),
                            Map.entry("operators-settings.txt", SettingsForms::writeOperators),
                            Map.entry("command-line.txt", CommandLineForms::write)));

    static Stream<String> kinds() {
        return WRITERS_BY_FILE.keySet().stream();
    }

    @ParameterizedTest
    @MethodSource("kinds")
    void generatedFormsMatchGoldenFile(String name) throws Exception {
        GoldenFile file = new GoldenFile();
        WRITERS_BY_FILE.get(name).write(file);
        compare(GOLDEN.resolve(name), file.content().getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void deployFilesMatchGoldenCopies() throws IOException {
        for (String name : names(DEPLOY)) {
            compare(
                    GOLDEN.resolve("deploy").resolve(name),
                    Files.readAllBytes(DEPLOY.resolve(name)));
        }
        assertEquals(names(GOLDEN.resolve("deploy")), names(DEPLOY));
    }

    @Test
    void everyGoldenFileIsCompared() throws IOException {
        TreeSet<String> expected = new TreeSet<>(WRITERS_BY_FILE.keySet());
        expected.addAll(List.of("deploy", "input"));
        assertEquals(List.copyOf(expected), names(GOLDEN));
    }

    private static List<String> names(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(file -> file.getFileName().toString()).sorted().toList();
        }
    }

    private static void compare(Path golden, byte[] actual) throws IOException {
        if (Boolean.getBoolean(WRITE_PROPERTY)) {
            Files.createDirectories(golden.getParent());
            Files.write(golden, actual);
            return;
        }
        byte[] expected = Files.readAllBytes(golden);
        List<String> expectedLines = text(expected).lines().toList();
        List<String> actualLines = text(actual).lines().toList();
        for (int i = 0; i < Math.min(expectedLines.size(), actualLines.size()); i++) {
            // Lines are compared first so that a failure shows the form; the byte comparison is
            // exact.
            assertEquals(expectedLines.get(i), actualLines.get(i), golden + " line " + (i + 1));
        }
        assertArrayEquals(expected, actual, golden.toString());
    }

    @AfterEach
    void failAfterWritingGoldenFiles() {
        if (Boolean.getBoolean(WRITE_PROPERTY)) {
            fail(
                    "golden files were rewritten without a comparison; run again without -D"
                            + WRITE_PROPERTY);
        }
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
