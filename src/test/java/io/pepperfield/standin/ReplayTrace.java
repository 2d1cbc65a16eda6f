package io.pepperfield.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/**
 * Replays a recorded trace. A line that begins with ">" is an event; the "=" lines after it are the
 * decisions that the event must produce.
 */
public final class ReplayTrace {

    private ReplayTrace() {}

    /**
     * Replays the trace and checks its decisions; {@code play} maps the words of an event to the
     * decisions it produces.
     */
    public static void check(String name, Function<String[], List<String>> play)
            throws IOException {
        String text;
        try (InputStream in = ReplayTrace.class.getResourceAsStream("/traces/" + name)) {
            assertNotNull(in, name);
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        String event = null;
        List<String> expected = new ArrayList<>();
        int lineNumber = 0;
        int eventCount = 0;
        for (String line : (text + "\n> end").split("\n")) {
            lineNumber++;
            if (line.startsWith(">")) {
                if (event != null) {
                    eventCount++;
                    assertEquals(
                            expected,
                            play.apply(event.substring(1).strip().split(" +")),
                            name + " before line " + lineNumber + ": " + event);
                }
                event = line;
                expected = new ArrayList<>();
            } else if (line.startsWith("=")) {
                expected.add(line.substring(1).strip());
            }
        }
        assertEquals(true, eventCount > 0, name + " contains no events");
    }
}
