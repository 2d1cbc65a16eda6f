package io.pepperfield.jobs;

import io.pepperfield.jobs.JobSpec.Priority;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Priority inheritance along job dependencies. Users set the priority of a pipeline on its last
 * job, so jobs are placed by their effective priority: the highest among a job's own priority and
 * those of its direct and transitive unfinished dependents.
 *
 * <p>Effective priorities depend only on the set of unfinished jobs and not on the order in which
 * they are added, so a new leader derives the same priorities, and an inherited priority is dropped
 * when the job that it comes from is removed. Each job counts its dependents by effective priority,
 * so adding or removing a job visits only the edges over which a priority changes, regardless of
 * the number of dependents of a job. Confined to the event loop's thread.
 */
public final class PriorityInheritance {

    private static final Priority[] PRIORITIES = Priority.values();

    /**
     * A job, possibly not added yet and only referenced by a dependent, with the number of its
     * dependents of each effective priority.
     */
    private static final class Node {
        private final int[] dependentsByPriority = new int[PRIORITIES.length];

        /** Null if the job has not been added or has ended. */
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
     * A change of the effective priority of one dependent of {@code job}. {@code before} is null if
     * the dependent was added, {@code after} is null if it was removed.
     */
    private record PriorityChange(String job, Priority before, Priority after) {}

    private final Map<String, Node> nodes = new HashMap<>();
    private final BiConsumer<String, Priority> onPriorityChanged;
    private long visitedEdges;

    /**
     * @param onPriorityChanged called with a job's id and its new effective priority whenever the
     *     effective priority changes; initially it is the job's own priority
     */
    public PriorityInheritance(BiConsumer<String, Priority> onPriorityChanged) {
        this.onPriorityChanged = onPriorityChanged;
    }

    /** Adds a job that has not ended; it may be added before its dependencies. */
    public void add(JobSpec job) {
        Node node = nodes.computeIfAbsent(job.id(), id -> new Node());
        if (node.spec != null) {
            return;
        }
        node.spec = job;
        node.effectivePriority = job.priority();
        ArrayDeque<PriorityChange> pending = new ArrayDeque<>();
        addChanges(job, null, node.effectivePriority, pending);
        pending.add(new PriorityChange(job.id(), null, null));
        propagate(pending);
    }

    /** Removes a job that has ended, so that its dependencies no longer inherit from it. */
    public void remove(JobSpec job) {
        Node node = nodes.get(job.id());
        if (node == null || node.spec == null) {
            return;
        }
        node.spec = null;
        ArrayDeque<PriorityChange> pending = new ArrayDeque<>();
        addChanges(job, node.effectivePriority, null, pending);
        removeIfUnused(job.id(), node);
        propagate(pending);
    }

    private static void addChanges(
            JobSpec job, Priority before, Priority after, ArrayDeque<PriorityChange> pending) {
        job.dependencies().forEach(id -> pending.add(new PriorityChange(id, before, after)));
    }

    /** Iterative, because dependency chains may be long. */
    private void propagate(ArrayDeque<PriorityChange> pending) {
        while (!pending.isEmpty()) {
            PriorityChange change = pending.poll();
            visitedEdges++;
            Node node = nodes.computeIfAbsent(change.job, id -> new Node());
            count(node, change.before, -1);
            count(node, change.after, 1);
            if (node.spec != null) {
                updateEffectivePriority(node, pending);
            }
            removeIfUnused(change.job, node);
        }
    }

    private void updateEffectivePriority(Node node, ArrayDeque<PriorityChange> pending) {
        Priority highest = node.highestPriority();
        if (highest != node.effectivePriority) {
            addChanges(node.spec, node.effectivePriority, highest, pending);
            node.effectivePriority = highest;
            onPriorityChanged.accept(node.spec.id(), highest);
        }
    }

    private static void count(Node node, Priority priority, int delta) {
        if (priority != null) {
            node.dependentsByPriority[priority.ordinal()] += delta;
        }
    }

    private void removeIfUnused(String id, Node node) {
        if (node.isUnused()) {
            nodes.remove(id);
        }
    }

    /** The number of edges visited so far. */
    long visitedEdges() {
        return visitedEdges;
    }

    /** The number of jobs with a node. */
    int size() {
        return nodes.size();
    }
}
