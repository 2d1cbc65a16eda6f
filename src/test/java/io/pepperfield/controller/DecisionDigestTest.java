package io.pepperfield.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import io.pepperfield.standin.Decision;
import io.pepperfield.standin.DecisionDigest;
import io.pepperfield.standin.SimulatedRegion;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against unintended changes of scheduling decisions: the starts, stops, rentals, returns
 * and final states of simulated days must match those in {@code src/test/resources/decisions}. The
 * decisions of a day that differs are written to {@code target/decisions}, for comparison with
 * those of an earlier commit.
 *
 * <p>{@code -Dpepperfield.decisions.write=true} overwrites the stored files and fails. Use it only
 * for a change that is meant to change decisions.
 */
class DecisionDigestTest {

    private static final String WRITE_PROPERTY = "pepperfield.decisions.write";
    private static final String SEQUENCE_SUFFIX = ".sequence.txt";
    private static final String DIGEST_SUFFIX = ".digest.txt";
    private static final Path STORED_DIRECTORY = Path.of("src", "test", "resources", "decisions");
    private static final Path OUTPUT_DIRECTORY = Path.of("target", "decisions");

    @ParameterizedTest
    @EnumSource(DecisionDay.class)
    void digestOfADayMatchesTheStoredDigest(DecisionDay day) throws IOException {
        SimulatedRegion region = day.run();
        List<String> digest = DecisionDigest.of(region.decisions.entries());
        if (Boolean.getBoolean(WRITE_PROPERTY)) {
            write(STORED_DIRECTORY, day.label() + DIGEST_SUFFIX, digest);
            fail("Stored file written, not compared: " + day.label() + DIGEST_SUFFIX);
        }
        assertSameLines(
                day, readStored(day.label() + DIGEST_SUFFIX), digest, region.decisions.lines());
        assertEquals(List.of(), region.violations);
    }

    @ParameterizedTest
    @EnumSource(names = {"QUIET", "DRAWN_TROUBLES_20"})
    void decisionSequenceOfADayMatchesTheStoredSequence(DecisionDay day) throws IOException {
        List<String> lines = day.run().decisions.lines();
        String file = day.label() + SEQUENCE_SUFFIX;
        if (Boolean.getBoolean(WRITE_PROPERTY)) {
            write(STORED_DIRECTORY, file, lines);
            fail("Stored file written, not compared: " + file);
        }
        assertSameLines(day, readStored(file), lines, lines);
    }

    @Test
    void secondRunInTheSameProcessMakesTheSameDecisions() {
        DecisionDay day = DecisionDay.DRAWN_TROUBLES_11;
        assertEquals(day.run().decisions.lines(), day.run().decisions.lines());
    }

    @ParameterizedTest
    @EnumSource(Decision.Kind.class)
    void storedDigestsContainDecisionsOfEveryKind(Decision.Kind kind) throws IOException {
        String zeroCount = " " + kind.label() + " 0,";
        for (DecisionDay day : DecisionDay.values()) {
            List<String> digest = readStored(day.label() + DIGEST_SUFFIX);
            String totals = digest.get(digest.size() - 1);
            assertTrue(totals.contains(" " + kind.label() + " "), day + ": " + totals);
            assertFalse(totals.contains(zeroCount), day + ": " + totals);
        }
    }

    /** Fails with the first line that differs, after writing the decisions of this run. */
    private static void assertSameLines(
            DecisionDay day, List<String> expected, List<String> actual, List<String> decisions)
            throws IOException {
        if (expected.equals(actual)) {
            return;
        }
        int first = 0;
        while (first < Math.min(expected.size(), actual.size())
                && expected.get(first).equals(actual.get(first))) {
            first++;
        }
        Path file = write(OUTPUT_DIRECTORY, day.label() + SEQUENCE_SUFFIX, decisions);
        fail(
                String.join(
                        System.lineSeparator(),
                        day.label() + " differs from line " + (first + 1) + " on",
                        "expected: " + lineOrEnd(expected, first),
                        "     was: " + lineOrEnd(actual, first),
                        "all decisions of this run: " + file));
    }

    private static String lineOrEnd(List<String> lines, int index) {
        return index < lines.size() ? lines.get(index) : "(end of file)";
    }

    private static List<String> readStored(String name) throws IOException {
        try (InputStream in = DecisionDigestTest.class.getResourceAsStream("/decisions/" + name)) {
            assertNotNull(in, name + " is missing from the test resources");
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    private static Path write(Path directory, String name, List<String> lines) throws IOException {
        Files.createDirectories(directory);
        return Files.writeString(directory.resolve(name), String.join("\n", lines) + "\n");
    }
}
