package io.pepperfield.jobs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.http.Json;
import io.pepperfield.jobs.JobSpec.Priority;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Which rank the jobs of a pipeline are placed by, while jobs come and go. */
class PriorityInheritanceTest {

    private final Map<String, Priority> placed = new HashMap<>();
    private final PriorityInheritance ranks = new PriorityInheritance(placed::put);

    private static JobSpec job(int number, Priority rank, int... needed) {
        var durable = Json.object().put("n", 1).put("k", 10).put("r", rank.ordinal());
        for (int other : needed) {
            durable.withArray("aw").add(id(other));
        }
        return JobCodec.decodeSpec(id(number), durable);
    }

    private static String id(int number) {
        return String.format(Locale.ROOT, "run-%06d", number);
    }

    private Priority rank(int number) {
        return placed.get(id(number));
    }

    @Test
    void aRankReachesAllThatIsNeededAndLeavesWithTheJobThatLentIt() {
        JobSpec standard = job(3, Priority.STANDARD, 2);
        JobSpec urgent = job(4, Priority.URGENT, 2);
        ranks.add(job(1, Priority.BEST_EFFORT));
        ranks.add(job(2, Priority.BEST_EFFORT, 1));
        ranks.add(standard);
        assertEquals(Priority.STANDARD, rank(1));
        ranks.add(urgent);
        assertEquals(Priority.URGENT, rank(1));
        assertEquals(Priority.URGENT, rank(2));
        ranks.remove(urgent);
        assertEquals(Priority.STANDARD, rank(1));
        assertEquals(Priority.STANDARD, rank(2));
        ranks.remove(standard);
        assertEquals(Priority.BEST_EFFORT, rank(1));
        assertEquals(Priority.BEST_EFFORT, rank(2));
    }

    @Test
    void aJobKeepsItsOwnRankWhereThatIsHigher() {
        JobSpec last = job(2, Priority.BEST_EFFORT, 1);
        ranks.add(job(1, Priority.PRODUCTION));
        ranks.add(last);
        ranks.remove(last);
        assertEquals(Map.of(), placed);
    }

    @Test
    void theOrderInWhichJobsBecomeKnownMakesNoDifference() {
        List<JobSpec> jobs = new ArrayList<>();
        Random random = new Random(5);
        for (int i = 0; i < 60; i++) {
            int[] needed = new int[i == 0 ? 0 : 1 + random.nextInt(2)];
            for (int n = 0; n < needed.length; n++) {
                needed[n] = random.nextInt(i);
            }
            jobs.add(job(i, Priority.values()[random.nextInt(4)], needed));
        }
        jobs.forEach(ranks::add);
        List<JobSpec> gone =
                jobs.subList(30, 60).stream().filter(j -> random.nextBoolean()).toList();
        gone.forEach(ranks::remove);
        Map<String, Priority> afterwards = new HashMap<>();
        PriorityInheritance newLeaders = new PriorityInheritance(afterwards::put);
        List<JobSpec> left = new ArrayList<>(jobs);
        left.removeAll(gone);
        Collections.shuffle(left, random);
        left.forEach(newLeaders::add);
        for (JobSpec job : left) {
            assertEquals(
                    placed.getOrDefault(job.id(), job.priority()),
                    afterwards.getOrDefault(job.id(), job.priority()),
                    job.id());
        }
    }

    @Test
    void workGrowsWithTheEdgesAndNothingIsKeptOfWhatIsOver() {
        int many = 20_000;
        List<JobSpec> jobs = new ArrayList<>(List.of(job(0, Priority.BEST_EFFORT)));
        for (int i = 1; i < many; i++) {
            // A chain on which a fan hangs.
            jobs.add(job(i, Priority.BEST_EFFORT, i % 2 == 0 ? i - 2 : 0));
        }
        jobs.add(job(many, Priority.URGENT, many - 2));
        jobs.forEach(ranks::add);
        assertEquals(Priority.URGENT, rank(0));
        assertTrue(ranks.visitedEdges() < 5L * many, "steps " + ranks.visitedEdges());
        // All are cancelled with the first one.
        jobs.forEach(ranks::remove);
        assertTrue(ranks.visitedEdges() < 8L * many, "steps " + ranks.visitedEdges());
        assertEquals(0, ranks.size());
    }
}
