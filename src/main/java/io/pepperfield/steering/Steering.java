package io.pepperfield.steering;

import io.pepperfield.jobs.JobSpec;
import io.pepperfield.steering.Resize.Upcoming;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** How many machines of each type and kind there should be: WIRE's count, and beside it the work expected unseen. */
public final class Steering {

    /**
     * What can be rented of a pool.
     *
     * @param present machines there are, booting ones included
     * @param open    whether a request for more is worth making, as far as refusals have shown
     */
    public record Offer(Pool pool, double cpus, double gpus, double memGb, double price, double bootS, int present, boolean open) {

        /** The part of one such machine that a task takes. */
        double share(JobSpec job) {
            double share = job.cpus() / cpus;
            share = Math.max(share, memGb > 0 ? job.memGb() / memGb : job.memGb() > 0 ? 2 : 0);
            return Math.max(share, gpus > 0 ? job.gpus() / gpus : job.gpus() > 0 ? 2 : 0);
        }
    }

    /** A task expected to be active at the next interval; {@code on} null while it waits. */
    public record Work(JobSpec job, double remainingS, Pool on) { }

    /** CPUs that are expected to be asked for: by work that needs ordinary machines, and by work that does not. */
    public record Expected(double ordinaryCpus, double anyCpus) { }

    private static final double ALIKE = 1.1;

    private Steering() { }

    public static Map<Pool, Integer> targets(List<Offer> offers, List<Work> work, Expected expected, double unitS, double partlyShare) {
        Map<Pool, List<Upcoming>> loads = new TreeMap<>();
        Map<Pool, Double> shares = new HashMap<>();
        for (Offer offer : offers) {
            loads.put(offer.pool(), new ArrayList<>());
        }
        for (Work task : work) {
            Offer offer = task.on() == null ? choose(offers, task.job(), shares) : find(offers, task.on());
            if (offer != null) {
                double share = Math.min(1, offer.share(task.job()));
                loads.get(offer.pool()).add(new Upcoming(task.remainingS(), share));
                shares.merge(offer.pool(), share, Double::sum);
            }
        }
        Map<Pool, Integer> targets = new TreeMap<>();
        loads.forEach((pool, load) -> targets.put(pool, Resize.machines(load, unitS, partlyShare)));
        Map<Pool, Double> floor = new HashMap<>();
        double overflow = fill(offers, true, expected.anyCpus(), floor);
        fill(offers, false, expected.ordinaryCpus() + overflow, floor);
        for (Offer offer : offers) {
            int expectedMachines = (int) Math.ceil(floor.getOrDefault(offer.pool(), 0.0) / offer.cpus() - 0.05);
            targets.merge(offer.pool(), expectedMachines, Math::max);
        }
        return targets;
    }

    private static Offer find(List<Offer> offers, Pool pool) {
        return offers.stream().filter(o -> o.pool().equals(pool)).findFirst().orElse(null);
    }

    /** The cheapest pool for a waiting task; one that gives no more machines takes what fits the present ones. */
    private static Offer choose(List<Offer> offers, JobSpec job, Map<Pool, Double> shares) {
        Offer best = null;
        Offer closed = null;
        for (Offer offer : offers) {
            boolean allowed = (job.spot() || !offer.pool().spot()) && (job.types() == null || job.types().contains(offer.pool().type()));
            double share = offer.share(job);
            if (!allowed || share > 1) {
                continue;
            }
            boolean room = offer.open() || shares.getOrDefault(offer.pool(), 0.0) + share <= offer.present();
            if (room && (best == null || cheaper(offer, best, share, best.share(job)))) {
                best = offer;
            } else if (!room && (closed == null || cheaper(offer, closed, share, closed.share(job)))) {
                closed = offer;
            }
        }
        return best == null ? closed : best;
    }

    /** Prices within a tenth are alike, since they move; then the sooner one is the better. */
    private static boolean cheaper(Offer a, Offer b, double shareA, double shareB) {
        double costA = a.price() * shareA;
        double costB = b.price() * shareB;
        return costA * ALIKE < costB || costA < costB * ALIKE && a.bootS() < b.bootS();
    }

    /** Spreads expected CPUs over the pools of one kind, the cheapest first; gives back what they cannot take. */
    private static double fill(List<Offer> offers, boolean spot, double cpus, Map<Pool, Double> floor) {
        List<Offer> kind = offers.stream().filter(o -> o.pool().spot() == spot)
                .sorted(Comparator.comparingDouble((Offer o) -> Math.rint(10 * Math.log(o.price() / o.cpus())))
                        .thenComparingDouble(Offer::bootS).thenComparing(Offer::pool)).toList();
        double left = cpus;
        for (Offer offer : kind) {
            double takes = offer.open() ? left : Math.min(left, offer.present() * offer.cpus());
            floor.merge(offer.pool(), takes, Double::sum);
            left -= takes;
        }
        return left;
    }
}
