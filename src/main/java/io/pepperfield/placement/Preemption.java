package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;

/**
 * Which tasks to stop for waiting ones that found no room, exactly as far as the protocol allows: for a job of higher
 * rank, or, to give a team its guarantee, work that another team runs beyond its own.
 */
public final class Preemption {

    /**
     * A task that could be stopped.
     *
     * @param lostS seconds of its work that would be lost
     */
    public record Victim(String id, JobSpec job, double lostS) { }

    /** A machine with what can be stopped on it; the room holds what is free or about to be. */
    public static final class Place {
        final Room room;
        final List<Victim> victims;

        public Place(Room room, List<Victim> victims) {
            this.room = room;
            this.victims = new ArrayList<>(victims);
        }
    }

    /** Books what the placer has chosen meanwhile. */
    public static void book(List<Place> places, Placer.Choice choice, Want want) {
        for (Place place : places) {
            if (place.room.machine.equals(choice.machine())) {
                place.room.free(want.job, -1);
            }
        }
    }

    private record Plan(Place place, List<Victim> stopped, double lost) { }

    private Preemption() { }

    /**
     * The tasks to stop. The rooms must count what is already being stopped as free, so that nothing is stopped twice for
     * the same need.
     */
    public static List<String> victims(List<Want> wants, List<Place> places, Map<String, Share> shares) {
        List<String> stopped = new ArrayList<>();
        List<Want> order = wants.stream().filter(w -> w.stuck && !w.job.gang()).sorted(Comparator.comparing((Want w) -> !w.guaranteed)
                .thenComparing(w -> w.job.rank()).thenComparing(w -> w.submittedAt)).toList();
        for (Want want : order) {
            Share share = shares.get(want.job.team());
            for (int i = want.waiting; i > 0 && share.allows(want.job.cpus(), want.job.gpus()); i--) {
                Plan best = null;
                for (Place place : places) {
                    Plan plan = plan(want, place, shares);
                    if (plan != null && (best == null || plan.lost < best.lost)) {
                        best = plan;
                    }
                }
                if (best == null) {
                    break;
                }
                for (Victim victim : best.stopped) {
                    best.place.victims.remove(victim);
                    best.place.room.free(victim.job, 1);
                    shares.get(victim.job.team()).free(victim.job, 1);
                    stopped.add(victim.id);
                }
                Placer.take(want, best.place.room, share, 1);
            }
        }
        return stopped;
    }

    /** The cheapest way to make room for one task of the job on that machine, or null; empty where there is room. */
    private static Plan plan(Want want, Place place, Map<String, Share> shares) {
        Room room = place.room;
        if (!Placer.allowed(want, room) || want.avoid.contains(room.machine)) {
            return null;
        }
        double cpus = room.cpus;
        double gpus = room.gpus;
        double memGb = room.memGb;
        double lost = 0;
        List<Victim> stopped = new ArrayList<>();
        List<Victim> byLoss = place.victims.stream().filter(v -> mayStop(want, v, shares))
                .sorted(Comparator.comparing((Victim v) -> v.job.rank()).reversed().thenComparingDouble(v -> v.lostS * v.job.cpus())).toList();
        for (Victim victim : byLoss) {
            if (Placer.holds(want, cpus, gpus, memGb)) {
                break;
            }
            cpus += victim.job.cpus();
            gpus += victim.job.gpus();
            memGb += victim.job.memGb();
            lost += (victim.lostS + 1) * victim.job.cpus();
            stopped.add(victim);
        }
        return Placer.holds(want, cpus, gpus, memGb) ? new Plan(place, stopped, lost) : null;
    }

    private static boolean mayStop(Want want, Victim victim, Map<String, Share> shares) {
        if (want.job.rank().compareTo(victim.job.rank()) < 0) {
            return true;
        }
        Share other = shares.get(victim.job.team());
        // Of any rank by the protocol; but what ranks higher than the guarantee's own work is left alone here.
        return want.guaranteed && other != null && want.job.rank() == victim.job.rank() && !victim.job.team().equals(want.job.team())
                && other.cpus - victim.job.cpus() >= other.team.cpus();
    }
}
