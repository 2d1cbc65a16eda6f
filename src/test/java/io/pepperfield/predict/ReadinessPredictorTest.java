package io.pepperfield.predict;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** When the jobs of a workflow become ready, from how long each still takes. */
class ReadinessPredictorTest {

    @Test
    void longestDependencyPathDeterminesReadiness() {
        Map<String, List<String>> needs =
                Map.of(
                        "first",
                        List.of(),
                        "short",
                        List.of("first"),
                        "long",
                        List.of("first"),
                        "last",
                        List.of("short", "long"));
        Map<String, Double> remaining =
                Map.of("first", 5.0, "short", 1.0, "long", 8.0, "last", 2.0);
        ReadinessPredictor times = new ReadinessPredictor(needs::get, remaining::get);
        assertEquals(0, times.secondsUntilReady("first"));
        assertEquals(5, times.secondsUntilReady("short"));
        assertEquals(13, times.secondsUntilReady("last"));
    }

    @Test
    void longChainWithWideFanInIsPredicted() {
        Map<String, List<String>> needs = new HashMap<>(Map.of("0", List.of()));
        for (int i = 1; i <= 20_000; i++) {
            needs.put("" + i, List.of("" + (i - 1)));
        }
        List<String> all = new ArrayList<>(needs.keySet());
        needs.put("fan", all);
        assertEquals(20_001, new ReadinessPredictor(needs::get, job -> 1).secondsUntilReady("fan"));
    }

    @Test
    void eachJobIsPredictedOnceAndVisitedAtMostTwice() {
        Map<String, List<String>> needs = new HashMap<>();
        int layers = 20;
        int width = 100;
        for (int layer = 0; layer < layers; layer++) {
            for (int i = 0; i < width; i++) {
                List<String> before = new ArrayList<>();
                for (int n = 0; layer > 0 && n < width; n++) {
                    before.add((layer - 1) + "/" + n);
                }
                needs.put(layer + "/" + i, before);
            }
        }
        int[] predicted = new int[1];
        int[] lookedUp = new int[1];
        ReadinessPredictor times =
                new ReadinessPredictor(
                        job -> {
                            lookedUp[0]++;
                            return needs.get(job);
                        },
                        job -> {
                            predicted[0]++;
                            return 1;
                        });
        for (String job : needs.keySet()) {
            times.secondsUntilReady(job);
        }
        assertEquals(layers - 1, times.secondsUntilReady((layers - 1) + "/0"));
        int jobs = layers * width;
        assertTrue(predicted[0] <= jobs, "predicted " + predicted[0]);
        assertTrue(lookedUp[0] <= 2 * jobs, "looked up " + lookedUp[0]);
    }
}
