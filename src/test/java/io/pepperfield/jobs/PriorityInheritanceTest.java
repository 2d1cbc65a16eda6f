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

/** Effective priorities of the jobs of a pipeline as jobs are added and removed. */
class PriorityInheritanceTest {

    private final Map<String, Priority> effectivePriorities = new HashMap<>();
    private final PriorityInheritance inheritance =
            new PriorityInheritance(effectivePriorities::put);

    private static JobSpec job(int number, Priority priority, int... dependencies) {
        var stored = Json.object().put("n", 1).put("k", 10).put("r", priority.ordinal());
        for (int dependency : dependencies) {
            stored.withArray("aw").add(id(dependency));
        }
        return JobCodec.decodeSpec(id(number), stored);
    }

    private static String id(int number) {
        return String.format(Locale.ROOT, "run-%06d", number);
    }

    private Priority priority(int number) {
        return effectivePriorities.get(id(number));
    }

    @Test
    void dependenciesInheritAPriorityUntilTheDependentIsRemoved() {
        JobSpec standard = job(3, Priority.STANDARD, 2);
        JobSpec urgent = job(4, Priority.URGENT, 2);
        inheritance.add(job(1, Priority.BEST_EFFORT));
        inheritance.add(job(2, Priority.BEST_EFFORT, 1));
        inheritance.add(standard);
        assertEquals(Priority.STANDARD, priority(1));
        inheritance.add(urgent);
        assertEquals(Priority.URGENT, priority(1));
        assertEquals(Priority.URGENT, priority(2));
        inheritance.remove(urgent);
        assertEquals(Priority.STANDARD, priority(1));
        assertEquals(Priority.STANDARD, priority(2));
        inheritance.remove(standard);
        assertEquals(Priority.BEST_EFFORT, priority(1));
        assertEquals(Priority.BEST_EFFORT, priority(2));
    }

    @Test
    void aJobKeepsItsOwnHigherPriority() {
        JobSpec last = job(2, Priority.BEST_EFFORT, 1);
        inheritance.add(job(1, Priority.PRODUCTION));
        inheritance.add(last);
        inheritance.remove(last);
        assertEquals(Map.of(), effectivePriorities);
    }

    @Test
    void effectivePrioritiesDoNotDependOnTheOrderOfAddition() {
        List<JobSpec> jobs = new ArrayList<>();
        Random random = new Random(5);
        for (int i = 0; i < 60; i++) {
            int[] dependencies = new int[i == 0 ? 0 : 1 + random.nextInt(2)];
            for (int n = 0; n < dependencies.length; n++) {
                dependencies[n] = random.nextInt(i);
            }
            jobs.add(job(i, Priority.values()[random.nextInt(4)], dependencies));
        }
        jobs.forEach(inheritance::add);
        List<JobSpec> removed =
                jobs.subList(30, 60).stream().filter(j -> random.nextBoolean()).toList();
        removed.forEach(inheritance::remove);
        Map<String, Priority> newLeaderPriorities = new HashMap<>();
        PriorityInheritance newLeader = new PriorityInheritance(newLeaderPriorities::put);
        List<JobSpec> remaining = new ArrayList<>(jobs);
        remaining.removeAll(removed);
        Collections.shuffle(remaining, random);
        remaining.forEach(newLeader::add);
        for (JobSpec job : remaining) {
            assertEquals(
                    effectivePriorities.getOrDefault(job.id(), job.priority()),
                    newLeaderPriorities.getOrDefault(job.id(), job.priority()),
                    job.id());
        }
    }

    @Test
    void visitedEdgesGrowLinearlyAndRemovedJobsLeaveNoNodes() {
        int jobCount = 20_000;
        List<JobSpec> jobs = new ArrayList<>(List.of(job(0, Priority.BEST_EFFORT)));
        for (int i = 1; i < jobCount; i++) {
            // A chain of the even jobs; all odd jobs depend on the first job.
            jobs.add(job(i, Priority.BEST_EFFORT, i % 2 == 0 ? i - 2 : 0));
        }
        jobs.add(job(jobCount, Priority.URGENT, jobCount - 2));
        jobs.forEach(inheritance::add);
        assertEquals(Priority.URGENT, priority(0));
        assertTrue(
                inheritance.visitedEdges() < 5L * jobCount,
                "visited edges: " + inheritance.visitedEdges());
        // The cancellation of the first job removes all of them.
        jobs.forEach(inheritance::remove);
        assertTrue(
                inheritance.visitedEdges() < 8L * jobCount,
                "visited edges: " + inheritance.visitedEdges());
        assertEquals(0, inheritance.size());
    }
}
