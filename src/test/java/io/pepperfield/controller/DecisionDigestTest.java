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
 * Starts, stops, rentals, returns and final states of whole simulated days are those that are kept
 * in {@code src/test/resources/decisions}. A day that differs is left in {@code target/decisions},
 * to be compared with that of an earlier commit.
 *
 * <p>{@code -Dpepperfield.decisions.write=true} writes the kept files anew, and fails. This is only
 * for a change that is meant to change decisions.
 */
class DecisionDigestTest {

    private static final String WRITE = "pepperfield.decisions.write";
    private static final String SEQUENCE = ".sequence.txt";
    private static final String DIGEST = ".digest.txt";
    private static final Path KEPT = Path.of("src", "test", "resources", "decisions");
    private static final Path PLAYED = Path.of("target", "decisions");

    @ParameterizedTest
    @EnumSource(DecisionDay.class)
    void digestOfADayMatchesTheStoredDigest(DecisionDay day) throws IOException {
        SimulatedRegion region = day.run();
        List<String> digest = DecisionDigest.of(region.decisions.entries());
        if (Boolean.getBoolean(WRITE)) {
            write(KEPT, day.label() + DIGEST, digest);
            fail("Written, not compared: " + day.label() + DIGEST);
        }
        assertSameLines(day, kept(day.label() + DIGEST), digest, region.decisions.lines());
        assertEquals(List.of(), region.violations);
    }

    @ParameterizedTest
    @EnumSource(names = {"QUIET", "DRAWN_TROUBLES_20"})
    void decisionSequenceOfADayMatchesTheStoredSequence(DecisionDay day) throws IOException {
        List<String> lines = day.run().decisions.lines();
        String file = day.label() + SEQUENCE;
        if (Boolean.getBoolean(WRITE)) {
            write(KEPT, file, lines);
            fail("Written, not compared: " + file);
        }
        assertSameLines(day, kept(file), lines, lines);
    }

    @Test
    void secondRunInTheSameProcessMakesTheSameDecisions() {
        DecisionDay day = DecisionDay.DRAWN_TROUBLES_11;
        assertEquals(day.run().decisions.lines(), day.run().decisions.lines());
    }

    @ParameterizedTest
    @EnumSource(Decision.Kind.class)
    void storedDigestsContainDecisionsOfEveryKind(Decision.Kind kind) throws IOException {
        String none = " " + kind.label() + " 0,";
        for (DecisionDay day : DecisionDay.values()) {
            List<String> digest = kept(day.label() + DIGEST);
            String all = digest.get(digest.size() - 1);
            assertTrue(all.contains(" " + kind.label() + " "), day + ": " + all);
            assertFalse(all.contains(none), day + ": " + all);
        }
    }

    /** Fails with the first line that differs. */
    private static void assertSameLines(
            DecisionDay day, List<String> expected, List<String> actual, List<String> played)
            throws IOException {
        if (expected.equals(actual)) {
            return;
        }
        int first = 0;
        while (first < Math.min(expected.size(), actual.size())
                && expected.get(first).equals(actual.get(first))) {
            first++;
        }
        Path file = write(PLAYED, day.label() + SEQUENCE, played);
        fail(
                String.join(
                        System.lineSeparator(),
                        day.label() + " differs from line " + (first + 1) + " on",
                        "expected: " + lineOrEnd(expected, first),
                        "     was: " + lineOrEnd(actual, first),
                        "all decisions of this run: " + file));
    }

    private static String lineOrEnd(List<String> lines, int index) {
        return index < lines.size() ? lines.get(index) : "(no more)";
    }

    private static List<String> kept(String name) throws IOException {
        try (InputStream in = DecisionDigestTest.class.getResourceAsStream("/decisions/" + name)) {
            assertNotNull(in, name + " is not kept");
            return new String(in.readAllBytes(), StandardCharsets.UTF_8).lines().toList();
        }
    }

    private static Path write(Path directory, String name, List<String> lines) throws IOException {
        Files.createDirectories(directory);
        return Files.writeString(directory.resolve(name), String.join("\n", lines) + "\n");
    }
}
