package io.pepperfield.jobs;

import io.pepperfield.jobs.JobSpec.Priority;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Users set the rank that they care about on the last job of a pipeline: a job is placed by the
 * highest among its own and those of the unfinished jobs that need it, directly or through others.
 *
 * <p>Derived from the unfinished jobs alone, in whatever order they come, so that a new leader
 * finds the same ranks, and a rank goes again with the job that lent it. Of each job the dependants
 * are counted by rank: a job that comes or goes costs a step for each edge over which a rank
 * changes, however many jobs need the same one.
 */
public final class PriorityInheritance {

    private static final Priority[] PRIORITIES = Priority.values();

    /** A job, or one that is named before it comes, with how many jobs of each rank need it. */
    private static final class Node {
        private final int[] dependentsByPriority = new int[PRIORITIES.length];

        /** Null where the job is not known, or over. */
        private JobSpec spec;

        private Priority effectivePriority;

        private Priority highestPriority() {
            int rank = 0;
            while (rank < spec.priority().ordinal() && dependentsByPriority[rank] == 0) {
                rank++;
            }
            return PRIORITIES[rank];
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

    /** One job that needs {@code job} has another rank; null for none. */
    private record Step(String job, Priority before, Priority after) {}

    private final Map<String, Node> nodes = new HashMap<>();
    private final BiConsumer<String, Priority> changed;
    private long steps;

    /**
     * @param changed told of a job and the rank that it is placed by from now on, where that is not
     *     the one before; at first it is its own
     */
    public PriorityInheritance(BiConsumer<String, Priority> changed) {
        this.changed = changed;
    }

    /** A job that is not over; it may come before those that it needs. */
    public void added(JobSpec job) {
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

    /** The job is over: it lends its rank to nobody any more. */
    public void removed(JobSpec job) {
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
        job.dependencies().forEach(needed -> open.add(new Step(needed, before, after)));
    }

    /** Without recursion: chains may be long. */
    private void propagate(ArrayDeque<Step> open) {
        while (!open.isEmpty()) {
            Step step = open.poll();
            steps++;
            Node node = nodes.computeIfAbsent(step.job, id -> new Node());
            count(node, step.before, -1);
            count(node, step.after, 1);
            Priority now = node.spec == null ? null : node.highestPriority();
            if (now != null && now != node.effectivePriority) {
                addSteps(node.spec, node.effectivePriority, now, open);
                node.effectivePriority = now;
                changed.accept(step.job, now);
            }
            forgetIfUnused(step.job, node);
        }
    }

    private static void count(Node node, Priority rank, int change) {
        if (rank != null) {
            node.dependentsByPriority[rank.ordinal()] += change;
        }
    }

    private void forgetIfUnused(String id, Node node) {
        if (node.isUnused()) {
            nodes.remove(id);
        }
    }

    /** Edges gone over so far. */
    long steps() {
        return steps;
    }

    /** Jobs kept here. */
    int size() {
        return nodes.size();
    }
}
