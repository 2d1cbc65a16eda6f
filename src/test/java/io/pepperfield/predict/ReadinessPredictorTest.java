package io.pepperfield.predict;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Tests when the jobs of a workflow are predicted to become ready, including long dependency chains
 * that must not overflow the stack and dense graphs that must not multiply the work.
 */
class ReadinessPredictorTest {

    @Test
    void longestDependencyPathDeterminesReadiness() {
        Map<String, List<String>> dependencies =
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
        ReadinessPredictor predictor = new ReadinessPredictor(dependencies::get, remaining::get);
        assertEquals(0, predictor.secondsUntilReady("first"));
        assertEquals(5, predictor.secondsUntilReady("short"));
        assertEquals(13, predictor.secondsUntilReady("last"));
    }

    @Test
    void longChainWithWideFanInIsPredicted() {
        Map<String, List<String>> dependencies = new HashMap<>(Map.of("0", List.of()));
        for (int i = 1; i <= 20_000; i++) {
            dependencies.put("" + i, List.of("" + (i - 1)));
        }
        List<String> all = new ArrayList<>(dependencies.keySet());
        dependencies.put("fan", all);
        assertEquals(
                20_001,
                new ReadinessPredictor(dependencies::get, job -> 1).secondsUntilReady("fan"));
    }

    @Test
    void eachJobIsPredictedOnceAndVisitedAtMostTwice() {
        Map<String, List<String>> dependencies = new HashMap<>();
        int layers = 20;
        int width = 100;
        for (int layer = 0; layer < layers; layer++) {
            for (int i = 0; i < width; i++) {
                List<String> previousLayer = new ArrayList<>();
                for (int n = 0; layer > 0 && n < width; n++) {
                    previousLayer.add((layer - 1) + "/" + n);
                }
                dependencies.put(layer + "/" + i, previousLayer);
            }
        }
        int[] predictionCount = new int[1];
        int[] lookupCount = new int[1];
        ReadinessPredictor predictor =
                new ReadinessPredictor(
                        job -> {
                            lookupCount[0]++;
                            return dependencies.get(job);
                        },
                        job -> {
                            predictionCount[0]++;
                            return 1;
                        });
        for (String job : dependencies.keySet()) {
            predictor.secondsUntilReady(job);
        }
        assertEquals(layers - 1, predictor.secondsUntilReady((layers - 1) + "/0"));
        int jobs = layers * width;
        assertTrue(predictionCount[0] <= jobs, "remaining time predictions: " + predictionCount[0]);
        assertTrue(lookupCount[0] <= 2 * jobs, "dependency lookups: " + lookupCount[0]);
    }
}
