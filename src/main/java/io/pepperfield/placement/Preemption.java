package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Which tasks to stop for waiting ones that found no room, exactly as far as the protocol allows:
 * for a job of higher rank, or, to give a team its guarantee, work that another team runs beyond
 * its own.
 */
public final class Preemption {

    /**
     * A task that could be stopped.
     *
     * @param lostS seconds of its work that would be lost
     */
    public record Victim(String id, JobSpec job, double lostS) {}

    /** The lowest rank first, then what loses least. */
    private static final Comparator<Victim> BY_LOSS =
            Comparator.comparing((Victim v) -> v.job.rank())
                    .reversed()
                    .thenComparingDouble(v -> v.lostS * v.job.cpus());

    /** A machine with what can be stopped on it; the room holds what is free or about to be. */
    public static final class Place {
        private final Room room;
        private final List<Victim> victims;

        /** Creates a place; its victims are tried in the order of what their loss costs. */
        public Place(Room room, List<Victim> victims) {
            this.room = room;
            this.victims = new ArrayList<>(victims);
            this.victims.sort(BY_LOSS);
        }

        /** The name of the machine. */
        public String machine() {
            return room.machine;
        }

        /** Books what the placer has chosen meanwhile. */
        public void book(PlacementRequest request) {
            room.free(request.job, -1);
        }
    }

    /** What to stop on one machine, and the work that would be lost. */
    private record Plan(Place place, List<Victim> stopped, double lost) {}

    private Preemption() {}

    /**
     * The tasks to stop. Rooms and shares must count what is already being stopped as free, so that
     * nothing is stopped twice for the same need; they are therefore not those that tasks are
     * started by.
     */
    public static List<String> victims(
            List<PlacementRequest> requests, List<Place> places, Map<String, Share> shares) {
        List<String> stopped = new ArrayList<>();
        // What is lowest and claims no guarantee may stop nothing; a swarm of it would cost a look
        // at all tasks for each.
        List<PlacementRequest> order =
                requests.stream()
                        .filter(w -> w.waiting > 0 && !w.job.gang())
                        .filter(
                                w ->
                                        !w.trial()
                                                && (w.guaranteed
                                                        || w.job.rank()
                                                                != JobSpec.Rank.BEST_EFFORT))
                        .sorted(
                                Comparator.comparing((PlacementRequest w) -> !w.guaranteed)
                                        .thenComparing(w -> w.job.rank())
                                        .thenComparing(w -> w.submittedAt))
                        .toList();
        PreemptionBounds bounds = new PreemptionBounds(shares.values());
        places.forEach(place -> bounds.add(place.room, place.victims));
        for (PlacementRequest request : order) {
            if (!bounds.allow(request)) {
                continue;
            }
            Share share = shares.get(request.job.team());
            // Every place is weighed once for the job and again only when it comes up, not once
            // more for each task.
            PriorityQueue<Plan> plans = new PriorityQueue<>(Comparator.comparingDouble(Plan::lost));
            boolean limited = !share.allows(request.job.cpus(), request.job.gpus());
            if (limited || request.stuck) {
                places.forEach(place -> offer(plans, plan(request, place, shares)));
            }
            while (request.waiting > 0 && !plans.isEmpty()) {
                if (limited != !share.allows(request.job.cpus(), request.job.gpus())) {
                    limited = !limited;
                    plans.clear();
                    places.forEach(place -> offer(plans, plan(request, place, shares)));
                    continue;
                }
                Plan first = plans.poll();
                Plan best = plan(request, first.place, shares);
                if (best != null && best.lost > first.lost) {
                    plans.add(best);
                    continue;
                }
                if (best == null) {
                    continue;
                }
                request.madeRoom |= !best.stopped.isEmpty();
                for (Victim victim : best.stopped) {
                    best.place.victims.remove(victim);
                    best.place.room.free(victim.job, 1);
                    bounds.widen(best.place.room);
                    shares.get(victim.job.team()).free(victim.job, 1);
                    stopped.add(victim.id);
                }
                Placer.take(request, best.place.room, share, 1);
                offer(plans, plan(request, best.place, shares));
            }
        }
        return stopped;
    }

    private static void offer(PriorityQueue<Plan> plans, Plan plan) {
        if (plan != null) {
            plans.add(plan);
        }
    }

    /**
     * The cheapest way to make room for one task of the job on that machine, or null; empty where
     * there is room.
     */
    private static Plan plan(PlacementRequest request, Place place, Map<String, Share> shares) {
        Room room = place.room;
        if (!Placer.allowed(request, room) || request.avoid.contains(room.machine)) {
            return null;
        }
        // A team at its limit makes room for its higher work by stopping its lower.
        Share own = shares.get(request.job.team());
        boolean limited = !own.allows(request.job.cpus(), request.job.gpus());
        double ownCpus = 0;
        double ownGpus = 0;
        if (!limited && Placer.holds(request, room.cpus, room.gpus, room.memGb)) {
            return new Plan(place, List.of(), 0);
        }
        double cpus = room.cpus;
        double gpus = room.gpus;
        double memGb = room.memGb;
        double lost = 0;
        List<Victim> stopped = new ArrayList<>();
        for (Victim victim : place.victims) {
            boolean sameTeam = victim.job.team().equals(request.job.team());
            if (!mayStop(request, victim, shares) || limited && !sameTeam) {
                continue;
            }
            cpus += victim.job.cpus();
            gpus += victim.job.gpus();
            memGb += victim.job.memGb();
            ownCpus += sameTeam ? victim.job.cpus() : 0;
            ownGpus += sameTeam ? victim.job.gpus() : 0;
            lost += (victim.lostS + 1) * victim.job.cpus();
            stopped.add(victim);
            if (Placer.holds(request, cpus, gpus, memGb)
                    && own.allows(request.job.cpus() - ownCpus, request.job.gpus() - ownGpus)) {
                return new Plan(place, stopped, lost);
            }
        }
        return null;
    }

    private static boolean mayStop(
            PlacementRequest request, Victim victim, Map<String, Share> shares) {
        if (request.job.rank().compareTo(victim.job.rank()) < 0) {
            return true;
        }
        Share other = shares.get(victim.job.team());
        // Of any rank by the protocol; but what ranks higher than the guarantee's own work is left
        // alone here.
        return request.guaranteed
                && other != null
                && request.job.rank() == victim.job.rank()
                && !victim.job.team().equals(request.job.team())
                && other.cpus - victim.job.cpus() >= other.team.cpus();
    }
}
