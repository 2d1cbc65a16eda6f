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
public final class PreemptionPlanner {

    /**
     * A task that could be stopped.
     *
     * @param lostWorkS seconds of its work that would be lost
     */
    public record Victim(String id, JobSpec job, double lostWorkS) {}

    /** The lowest rank first, then what loses least. */
    private static final Comparator<Victim> CHEAPEST_FIRST =
            Comparator.comparing((Victim v) -> v.job.priority())
                    .reversed()
                    .thenComparingDouble(v -> v.lostWorkS * v.job.cpus());

    /** A machine with what can be stopped on it; the room holds what is free or about to be. */
    public static final class PreemptibleMachine {
        private final FreeCapacity capacity;
        private final List<Victim> victims;

        /** Creates a place; its victims are tried in the order of what their loss costs. */
        public PreemptibleMachine(FreeCapacity room, List<Victim> victims) {
            this.capacity = room;
            this.victims = new ArrayList<>(victims);
            this.victims.sort(CHEAPEST_FIRST);
        }

        /** The name of the machine. */
        public String machineName() {
            return capacity.machineName;
        }

        /** Takes what one task of the request needs; the machine will have its image. */
        public void allocate(PlacementRequest request) {
            capacity.release(request.job, -1);
            capacity.addCachedImage(request.job.image());
        }
    }

    /** What to stop on one machine, and the work that would be lost. */
    private record MachinePlan(PreemptibleMachine machine, List<Victim> victims, double cost) {}

    private PreemptionPlanner() {}

    /**
     * The tasks to stop. Rooms and shares must count what is already being stopped as free, so that
     * nothing is stopped twice for the same need; they are therefore not those that tasks are
     * started by.
     */
    public static List<String> selectVictims(
            List<PlacementRequest> requests,
            List<PreemptibleMachine> places,
            Map<String, QuotaUsage> shares) {
        List<String> stopped = new ArrayList<>();
        // What is lowest and claims no guarantee may stop nothing; a swarm of it would cost a look
        // at all tasks for each.
        List<PlacementRequest> order =
                requests.stream()
                        .filter(w -> w.waitingTasks > 0 && !w.job.isGang())
                        .filter(
                                w ->
                                        !w.probe()
                                                && (w.withinGuarantee
                                                        || w.job.priority()
                                                                != JobSpec.Priority.BEST_EFFORT))
                        .sorted(
                                Comparator.comparing((PlacementRequest w) -> !w.withinGuarantee)
                                        .thenComparing(w -> w.job.priority())
                                        .thenComparing(w -> w.readyAt))
                        .toList();
        PreemptionBounds bounds = new PreemptionBounds(shares.values());
        places.forEach(place -> bounds.addMachine(place.capacity, place.victims));
        for (PlacementRequest request : order) {
            if (!bounds.mayHavePlan(request)) {
                continue;
            }
            QuotaUsage share = shares.get(request.job.team());
            // Every place is weighed once for the job and again only when it comes up, not once
            // more for each task.
            PriorityQueue<MachinePlan> plans =
                    new PriorityQueue<>(Comparator.comparingDouble(MachinePlan::cost));
            boolean limited = !share.fitsLimit(request.job.cpus(), request.job.gpus());
            if (limited || request.unschedulable) {
                places.forEach(place -> addIfPresent(plans, cheapestPlan(request, place, shares)));
            }
            while (request.waitingTasks > 0 && !plans.isEmpty()) {
                if (limited != !share.fitsLimit(request.job.cpus(), request.job.gpus())) {
                    limited = !limited;
                    plans.clear();
                    places.forEach(
                            place -> addIfPresent(plans, cheapestPlan(request, place, shares)));
                    continue;
                }
                MachinePlan first = plans.poll();
                MachinePlan best = cheapestPlan(request, first.machine, shares);
                if (best != null && best.cost > first.cost) {
                    plans.add(best);
                    continue;
                }
                if (best == null) {
                    continue;
                }
                request.causedPreemption |= !best.victims.isEmpty();
                for (Victim victim : best.victims) {
                    best.machine.victims.remove(victim);
                    best.machine.capacity.release(victim.job, 1);
                    bounds.includeCapacity(best.machine.capacity);
                    shares.get(victim.job.team()).release(victim.job, 1);
                    stopped.add(victim.id);
                }
                BinPacker.allocate(request, best.machine.capacity, share, 1);
                addIfPresent(plans, cheapestPlan(request, best.machine, shares));
            }
        }
        return stopped;
    }

    private static void addIfPresent(PriorityQueue<MachinePlan> plans, MachinePlan plan) {
        if (plan != null) {
            plans.add(plan);
        }
    }

    /**
     * The cheapest way to make room for one task of the job on that machine, or null; empty where
     * there is room.
     */
    private static MachinePlan cheapestPlan(
            PlacementRequest request, PreemptibleMachine place, Map<String, QuotaUsage> shares) {
        FreeCapacity room = place.capacity;
        if (!BinPacker.meetsConstraints(request, room)
                || request.excludedMachines.contains(room.machineName)) {
            return null;
        }
        // A team at its limit makes room for its higher work by stopping its lower.
        QuotaUsage own = shares.get(request.job.team());
        boolean limited = !own.fitsLimit(request.job.cpus(), request.job.gpus());
        double ownCpus = 0;
        double ownGpus = 0;
        if (!limited
                && BinPacker.hasResources(request, room.freeCpus, room.freeGpus, room.freeMemGb)) {
            return new MachinePlan(place, List.of(), 0);
        }
        double cpus = room.freeCpus;
        double gpus = room.freeGpus;
        double memGb = room.freeMemGb;
        double lost = 0;
        List<Victim> stopped = new ArrayList<>();
        for (Victim victim : place.victims) {
            boolean sameTeam = victim.job.team().equals(request.job.team());
            if (!mayPreempt(request, victim, shares) || limited && !sameTeam) {
                continue;
            }
            cpus += victim.job.cpus();
            gpus += victim.job.gpus();
            memGb += victim.job.memGb();
            ownCpus += sameTeam ? victim.job.cpus() : 0;
            ownGpus += sameTeam ? victim.job.gpus() : 0;
            lost += (victim.lostWorkS + 1) * victim.job.cpus();
            stopped.add(victim);
            if (BinPacker.hasResources(request, cpus, gpus, memGb)
                    && own.fitsLimit(request.job.cpus() - ownCpus, request.job.gpus() - ownGpus)) {
                return new MachinePlan(place, stopped, lost);
            }
        }
        return null;
    }

    private static boolean mayPreempt(
            PlacementRequest request, Victim victim, Map<String, QuotaUsage> shares) {
        if (request.job.priority().compareTo(victim.job.priority()) < 0) {
            return true;
        }
        QuotaUsage other = shares.get(victim.job.team());
        // Of any rank by the protocol; but what ranks higher than the guarantee's own work is left
        // alone here.
        return request.withinGuarantee
                && other != null
                && request.job.priority() == victim.job.priority()
                && !victim.job.team().equals(request.job.team())
                && other.usedCpus - victim.job.cpus() >= other.team.guaranteedCpus();
    }
}
