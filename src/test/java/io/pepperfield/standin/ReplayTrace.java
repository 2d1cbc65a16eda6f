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
 * A kept trace: lines that begin with ">" are events, the lines with "=" after each are the
 * decisions they must lead to.
 */
public final class ReplayTrace {

    private ReplayTrace() {}

    /** Plays the trace; {@code play} gets the words of an event and gives its decisions. */
    public static void check(String name, Function<String[], List<String>> play)
            throws IOException {
        String text;
        try (InputStream in = ReplayTrace.class.getResourceAsStream("/traces/" + name)) {
            assertNotNull(in, name);
            text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        }
        String event = null;
        List<String> wanted = new ArrayList<>();
        int number = 0;
        int events = 0;
        for (String line : (text + "\n> end").split("\n")) {
            number++;
            if (line.startsWith(">")) {
                if (event != null) {
                    events++;
                    assertEquals(
                            wanted,
                            play.apply(event.substring(1).strip().split(" +")),
                            name + " before line " + number + ": " + event);
                }
                event = line;
                wanted = new ArrayList<>();
            } else if (line.startsWith("=")) {
                wanted.add(line.substring(1).strip());
            }
        }
        assertEquals(true, events > 0, name + " holds no event");
    }
}
