package io.pepperfield.steering;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.standin.Trace;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests of WIRE's algorithm 3: the machines that upcoming tasks need. */
class ResizeTest {

    @Test
    void machines() throws IOException {
        Trace.check("resize.txt", ResizeTest::play);
    }

    @Test
    void workThatHasOverrunIsStillANumber() {
        assertEquals(0.5, Steering.weight(10, 20));
        assertEquals(1, Steering.weight(30, 20));
        assertEquals(1, Steering.weight(0, -5));
        assertEquals(1, Steering.weight(0, 0));
        assertEquals(0, Steering.weight(0, 20));
    }

    /** machines COUNTxREMAINING/SLOTS ... with u = 60 and a fifth of it for the last machine. */
    private static List<String> play(String[] words) {
        List<Resize.Upcoming> tasks = new ArrayList<>();
        List<Resize.Upcoming> grouped = new ArrayList<>();
        for (int i = 1; i < words.length; i++) {
            String[] part = words[i].split("[x/]");
            double remaining =
                    part[1].equals("ever") ? Double.POSITIVE_INFINITY : Double.parseDouble(part[1]);
            grouped.add(
                    new Resize.Upcoming(
                            remaining, 1 / Double.parseDouble(part[2]), Integer.parseInt(part[0])));
            for (int n = 0; n < Integer.parseInt(part[0]); n++) {
                tasks.add(new Resize.Upcoming(remaining, 1 / Double.parseDouble(part[2])));
            }
        }
        int machines = Resize.machines(tasks, 60, 0.2);
        assertEquals(
                machines,
                Resize.machines(grouped, 60, 0.2),
                "alike tasks in one entry count as they do one by one");
        return List.of(String.valueOf(machines));
    }
}
