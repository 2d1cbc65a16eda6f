package io.pepperfield.jobs;

import io.pepperfield.jobs.JobSpec.Rank;
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
public final class RankInheritance {

    private static final Rank[] RANKS = Rank.values();

    /** A job, or one that is named before it comes, with how many jobs of each rank need it. */
    private static final class Node {
        private final int[] dependants = new int[RANKS.length];

        /** Null where the job is not known, or over. */
        private JobSpec spec;

        private Rank effective;

        private Rank highest() {
            int rank = 0;
            while (rank < spec.rank().ordinal() && dependants[rank] == 0) {
                rank++;
            }
            return RANKS[rank];
        }

        private boolean unused() {
            for (int count : dependants) {
                if (count > 0) {
                    return false;
                }
            }
            return spec == null;
        }
    }

    /** One job that needs {@code job} has another rank; null for none. */
    private record Step(String job, Rank before, Rank after) {}

    private final Map<String, Node> nodes = new HashMap<>();
    private final BiConsumer<String, Rank> changed;
    private long steps;

    /**
     * @param changed told of a job and the rank that it is placed by from now on, where that is not
     *     the one before; at first it is its own
     */
    public RankInheritance(BiConsumer<String, Rank> changed) {
        this.changed = changed;
    }

    /** A job that is not over; it may come before those that it needs. */
    public void added(JobSpec job) {
        Node node = nodes.computeIfAbsent(job.id(), id -> new Node());
        if (node.spec != null) {
            return;
        }
        node.spec = job;
        node.effective = job.rank();
        ArrayDeque<Step> open = new ArrayDeque<>();
        lend(job, null, node.effective, open);
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
        lend(job, node.effective, null, open);
        forgetIfUnused(job.id(), node);
        propagate(open);
    }

    private static void lend(JobSpec job, Rank before, Rank after, ArrayDeque<Step> open) {
        job.awaits().forEach(needed -> open.add(new Step(needed, before, after)));
    }

    /** Without recursion: chains may be long. */
    private void propagate(ArrayDeque<Step> open) {
        while (!open.isEmpty()) {
            Step step = open.poll();
            steps++;
            Node node = nodes.computeIfAbsent(step.job, id -> new Node());
            count(node, step.before, -1);
            count(node, step.after, 1);
            Rank now = node.spec == null ? null : node.highest();
            if (now != null && now != node.effective) {
                lend(node.spec, node.effective, now, open);
                node.effective = now;
                changed.accept(step.job, now);
            }
            forgetIfUnused(step.job, node);
        }
    }

    private static void count(Node node, Rank rank, int change) {
        if (rank != null) {
            node.dependants[rank.ordinal()] += change;
        }
    }

    private void forgetIfUnused(String id, Node node) {
        if (node.unused()) {
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
