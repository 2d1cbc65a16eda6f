package io.pepperfield.steering;

import io.pepperfield.jobs.JobSpec;
import io.pepperfield.steering.Resize.Upcoming;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Machines that are short in one zone. The count for each pool does not see it: idle machines of
 * another zone satisfy it while work that may not go there waits for ever.
 */
public final class ZoneShortage {

    /**
     * A machine that stands or is coming, with the room that nothing alive is expected to hold when
     * the next interval begins.
     */
    public record Standing(Pool pool, String zone, double cpus, double gpus, double memGb) {}

    /**
     * Waiting tasks that may go to no other zone; null for a gang that has still to find the one
     * zone for all of it.
     */
    public record Bound(JobSpec job, String zone, double remainingS, int tasks) {

        /**
         * Of tasks that are shorter than the unit several follow each other; a gang's stand side by
         * side.
         */
        private int eachSlot(double unitS) {
            return job.gang() || remainingS >= unitS
                    ? 1
                    : remainingS > 0 ? (int) (unitS / remainingS) : tasks;
        }

        private Upcoming upcoming(double share, int left, double unitS) {
            return new Upcoming(
                    job.gang() ? Math.max(remainingS, unitS) : remainingS,
                    Math.min(1, share),
                    left);
        }
    }

    /** A pool that gives machines in that zone. */
    public record Source(Steering.Offer offer, String zone) {}

    /** Room that is used up as bound work is put on it. */
    private static final class Spare {
        final Standing at;
        double cpus;
        double gpus;
        double memGb;

        Spare(Standing at) {
            this.at = at;
            this.cpus = at.cpus();
            this.gpus = at.gpus();
            this.memGb = at.memGb();
        }

        /** How many tasks of the job would find room side by side, up to that many. */
        int room(JobSpec job, String zone, int most) {
            if (!at.zone().equals(zone) || !job.allows(at.pool().type(), zone, at.pool().spot())) {
                return 0;
            }
            return Math.min(
                    Math.min(most, slots(cpus, job.cpus())),
                    Math.min(slots(gpus, job.gpus()), slots(memGb, job.memGb())));
        }

        void take(JobSpec job, int some) {
            cpus -= some * job.cpus();
            gpus -= some * job.gpus();
            memGb -= some * job.memGb();
        }

        private static int slots(double free, double each) {
            return each > 0
                    ? (int) Math.max(0, Math.floor(free / each + SLACK))
                    : Integer.MAX_VALUE;
        }
    }

    private static final double SLACK = 1e-6;

    private ZoneShortage() {}

    /**
     * The zone to which some of a job's waiting tasks are bound, by what it asks for or by where
     * its other tasks may be alive, with how many they are. Null while more than one zone will do,
     * as for replicas whose first half has no place yet.
     *
     * @param live its tasks that may be alive, by zone
     * @param zones where machines that it allows are on offer
     */
    public static Bound bound(
            JobSpec job,
            double remainingS,
            int waiting,
            Map<String, Integer> live,
            Set<String> zones) {
        if (job.zone() != null) {
            return new Bound(job, job.zone(), remainingS, waiting);
        }
        if (job.oneZone() && job.gang() && live.isEmpty()) {
            return new Bound(job, null, remainingS, waiting);
        }
        if (job.oneZone()) {
            return live.entrySet().stream()
                    .filter(zone -> zone.getValue() > 0)
                    .findFirst()
                    .map(zone -> new Bound(job, zone.getKey(), remainingS, waiting))
                    .orElse(null);
        }
        if (!job.spread()) {
            return null;
        }
        List<String> left =
                zones.stream()
                        .filter(zone -> live.getOrDefault(zone, 0) < job.mostPerZone())
                        .toList();
        return left.size() != 1 || zones.size() == 1
                ? null
                : new Bound(
                        job,
                        left.get(0),
                        remainingS,
                        Math.min(waiting, job.mostPerZone() - live.getOrDefault(left.get(0), 0)));
    }

    /**
     * How many machines of which pool are short in which zone: by WIRE's count of what finds no
     * room on what stands or comes there.
     *
     * @param sources what can be had; a zone of a pool that has refused is none
     */
    public static Map<Pool, Map<String, Integer>> of(
            List<Bound> work,
            List<Standing> standing,
            List<Source> sources,
            double unitS,
            double partlyShare) {
        List<Spare> spares = standing.stream().map(Spare::new).toList();
        Map<Source, List<Upcoming>> loads = new LinkedHashMap<>();
        for (Bound bound : work) {
            String zone = bound.zone() != null ? bound.zone() : fullest(bound, spares, sources);
            int each = bound.eachSlot(unitS);
            int left = bound.tasks();
            for (Spare spare : spares) {
                int slots = spare.room(bound.job(), zone, (left + each - 1) / each);
                spare.take(bound.job(), slots);
                left -= (int) Math.min(left, (long) each * slots);
            }
            Source source = left > 0 ? choose(sources, bound.job(), zone) : null;
            if (source != null) {
                loads.computeIfAbsent(source, s -> new ArrayList<>())
                        .add(bound.upcoming(source.offer().share(bound.job()), left, unitS));
            }
        }
        Map<Pool, Map<String, Integer>> shortages = new TreeMap<>();
        loads.forEach(
                (source, load) ->
                        shortages
                                .computeIfAbsent(source.offer().pool(), p -> new TreeMap<>())
                                .put(source.zone(), Resize.machines(load, unitS, partlyShare)));
        return shortages;
    }

    /** The zone that lacks least for a gang, among those where it has room or room can be had. */
    private static String fullest(Bound gang, List<Spare> spares, List<Source> sources) {
        Map<String, Integer> rooms = new TreeMap<>();
        for (Source source : sources) {
            if (choose(sources, gang.job(), source.zone()) != null) {
                rooms.put(source.zone(), 0);
            }
        }
        Map<String, Integer> standing = new TreeMap<>();
        spares.forEach(
                spare ->
                        standing.merge(
                                spare.at.zone(),
                                spare.room(gang.job(), spare.at.zone(), gang.tasks()),
                                Integer::sum));
        standing.forEach(
                (zone, room) -> {
                    if (room >= gang.tasks() || rooms.containsKey(zone)) {
                        rooms.put(zone, room);
                    }
                });
        return rooms.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(null);
    }

    private static Source choose(List<Source> sources, JobSpec job, String zone) {
        Source best = null;
        for (Source source : sources) {
            Pool pool = source.offer().pool();
            double share = source.offer().share(job);
            if (source.zone().equals(zone)
                    && job.allows(pool.type(), zone, pool.spot())
                    && share <= 1
                    && (best == null
                            || Steering.cheaper(
                                    source.offer(),
                                    best.offer(),
                                    share,
                                    best.offer().share(job)))) {
                best = source;
            }
        }
        return best;
    }
}
