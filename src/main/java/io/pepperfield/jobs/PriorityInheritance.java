package io.pepperfield.jobs;

import io.pepperfield.jobs.JobSpec.Priority;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Priority inheritance: users set the priority that they care about on the last job of a pipeline,
 * and a job is placed by its effective priority, the highest among its own and those of its
 * unfinished dependents, direct or not.
 *
 * <p>Derived from the unfinished jobs alone, in whatever order they come, so that a new leader
 * finds the same priorities, and a priority goes again with the job that it comes from. Of each job
 * the dependents are counted by effective priority: a job that comes or goes costs a step for each
 * edge over which a priority changes, however many jobs depend on the same one. Confined to the
 * event loop's thread.
 */
public final class PriorityInheritance {

    private static final Priority[] PRIORITIES = Priority.values();

    /**
     * A job, or one that is named before it is added, with how many of its dependents there are of
     * each effective priority.
     */
    private static final class Node {
        private final int[] dependentsByPriority = new int[PRIORITIES.length];

        /** Null where the job is not known, or has ended. */
        private JobSpec spec;

        private Priority effectivePriority;

        private Priority highestPriority() {
            int ordinal = 0;
            while (ordinal < spec.priority().ordinal() && dependentsByPriority[ordinal] == 0) {
                ordinal++;
            }
            return PRIORITIES[ordinal];
        }

        private boolean isUnused() {
            for (int count : dependentsByPriority) {
                if (count > 0) {
                    return false;
                }
            }
            return spec == null;
        }
    }

    /**
     * The effective priority of one dependent of {@code job} changes; null stands for a dependent
     * that did not exist before, or does not any more.
     */
    private record Step(String job, Priority before, Priority after) {}

    private final Map<String, Node> nodes = new HashMap<>();
    private final BiConsumer<String, Priority> onChanged;
    private long steps;

    /**
     * @param onChanged told of a job and its new effective priority, where that is not the one
     *     before; at first it is its own
     */
    public PriorityInheritance(BiConsumer<String, Priority> onChanged) {
        this.onChanged = onChanged;
    }

    /** Adds a job that has not ended; it may be added before its dependencies. */
    public void add(JobSpec job) {
        Node node = nodes.computeIfAbsent(job.id(), id -> new Node());
        if (node.spec != null) {
            return;
        }
        node.spec = job;
        node.effectivePriority = job.priority();
        ArrayDeque<Step> open = new ArrayDeque<>();
        addSteps(job, null, node.effectivePriority, open);
        open.add(new Step(job.id(), null, null));
        propagate(open);
    }

    /** The job has ended: its dependencies inherit nothing from it any more. */
    public void remove(JobSpec job) {
        Node node = nodes.get(job.id());
        if (node == null || node.spec == null) {
            return;
        }
        node.spec = null;
        ArrayDeque<Step> open = new ArrayDeque<>();
        addSteps(job, node.effectivePriority, null, open);
        forgetIfUnused(job.id(), node);
        propagate(open);
    }

    private static void addSteps(
            JobSpec job, Priority before, Priority after, ArrayDeque<Step> open) {
        job.dependencies().forEach(id -> open.add(new Step(id, before, after)));
    }

    /** Without recursion: chains may be long. */
    private void propagate(ArrayDeque<Step> open) {
        while (!open.isEmpty()) {
            Step step = open.poll();
            steps++;
            Node node = nodes.computeIfAbsent(step.job, id -> new Node());
            count(node, step.before, -1);
            count(node, step.after, 1);
            if (node.spec != null) {
                updateEffectivePriority(node, open);
            }
            forgetIfUnused(step.job, node);
        }
    }

    private void updateEffectivePriority(Node node, ArrayDeque<Step> open) {
        Priority highest = node.highestPriority();
        if (highest != node.effectivePriority) {
            addSteps(node.spec, node.effectivePriority, highest, open);
            node.effectivePriority = highest;
            onChanged.accept(node.spec.id(), highest);
        }
    }

    private static void count(Node node, Priority priority, int change) {
        if (priority != null) {
            node.dependentsByPriority[priority.ordinal()] += change;
        }
    }

    private void forgetIfUnused(String id, Node node) {
        if (node.isUnused()) {
            nodes.remove(id);
        }
    }

    /** How many edges have been visited so far. */
    long visitedEdges() {
        return steps;
    }

    /** How many jobs are kept here. */
    int size() {
        return nodes.size();
    }
}
