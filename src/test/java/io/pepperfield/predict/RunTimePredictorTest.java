package io.pepperfield.predict;

import io.pepperfield.standin.ReplayTrace;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;

/** Tests run time predictions by WIRE's policies. */
class RunTimePredictorTest {

    private PeerRunTimes times = new PeerRunTimes();
    private final DoubleArrayList running = new DoubleArrayList();

    @Test
    void predictionsMatchTheTrace() throws IOException {
        ReplayTrace.check("predictor.txt", this::runTraceCommand);
    }

    private List<String> runTraceCommand(String[] words) {
        switch (words[0]) {
            case "job" -> {
                times = new PeerRunTimes();
                running.clear();
            }
            case "running" -> {
                running.clear();
                for (int i = 1; i < words.length; i++) {
                    running.add(Double.parseDouble(words[i]));
                }
            }
            case "finished" -> times.record(Double.parseDouble(words[1]), size(words, 2));
            case "interval" -> times.updateModel();
            default -> {
                double predicted =
                        RunTimePredictor.predictRunTime(
                                times, running, words[0].equals("ready"), size(words, 1));
                return List.of(String.format(Locale.ROOT, "%.2f", predicted));
            }
        }
        return List.of();
    }

    private static OptionalDouble size(String[] words, int index) {
        return words.length > index
                ? OptionalDouble.of(Double.parseDouble(words[index]))
                : OptionalDouble.empty();
    }
}
