package io.pepperfield.steering;

import io.pepperfield.jobs.JobSpec;
import io.pepperfield.steering.Resize.Upcoming;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * How many machines of each type and kind there should be: WIRE's count, and beside it the work
 * expected unseen.
 */
public final class Steering {

    /**
     * What can be rented of a pool.
     *
     * @param present machines there are, booting ones included
     * @param open whether a request for more is worth making, as far as refusals have shown
     */
    public record Offer(
            Pool pool,
            double cpus,
            double gpus,
            double memGb,
            double price,
            double bootS,
            int present,
            boolean open) {

        /** The part of one such machine that a task takes. */
        double share(JobSpec job) {
            double share = job.cpus() / cpus;
            share = Math.max(share, memGb > 0 ? job.memGb() / memGb : job.memGb() > 0 ? 2 : 0);
            return Math.max(share, gpus > 0 ? job.gpus() / gpus : job.gpus() > 0 ? 2 : 0);
        }
    }

    /**
     * Tasks, so many alike, expected to be active at the next interval; {@code on} null while they
     * wait.
     */
    public record Work(JobSpec job, double remainingS, Pool on, int count) {}

    /**
     * CPUs that are expected to be asked for: by work that needs ordinary machines, and by work
     * that does not.
     */
    public record Expected(double ordinaryCpus, double anyCpus) {}

    private static final double ALIKE = 1.1;

    private Steering() {}

    /** The number of machines to have in each pool for the work and the expected demand. */
    public static Map<Pool, Integer> targets(
            List<Offer> offers,
            List<Work> work,
            Expected expected,
            double unitS,
            double partlyShare) {
        Map<Pool, List<Upcoming>> loads = new TreeMap<>();
        Map<Pool, Double> shares = new HashMap<>();
        for (Offer offer : offers) {
            loads.put(offer.pool(), new ArrayList<>());
        }
        for (Work task : work) {
            Offer offer = task.on() == null ? null : find(offers, task.on());
            if (offer != null) {
                load(offer, task, loads, shares);
            }
        }
        for (Work task : work) {
            int left = task.on() == null ? task.count() : 0;
            while (left > 0) {
                Offer offer = choose(offers, task.job(), shares);
                if (offer == null) {
                    break;
                }
                // As many as the room that stands takes; what is beyond that goes where the rest of
                // it goes as well.
                double share = Math.min(1, offer.share(task.job()));
                double room = offer.present() - shares.getOrDefault(offer.pool(), 0.0);
                int some =
                        share > 0 && room >= share
                                ? (int) Math.max(1, Math.min(left, room / share))
                                : left;
                load(offer, new Work(task.job(), task.remainingS(), null, some), loads, shares);
                left -= some;
            }
        }
        Map<Pool, Integer> targets = new TreeMap<>();
        loads.forEach((pool, load) -> targets.put(pool, Resize.machines(load, unitS, partlyShare)));
        floor(offers, expected)
                .forEach((pool, machines) -> targets.merge(pool, machines, Math::max));
        return targets;
    }

    /**
     * The part of a machine's time that work counts for: what it fills of the time left for it.
     * Where no time is left it counts whole, also when nothing seems left to do: nought by nought
     * is no number, and would spoil every sum it is in.
     */
    public static double weight(double leftS, double timeS) {
        return leftS >= timeS ? 1 : Math.max(0, leftS) / timeS;
    }

    private static void load(
            Offer offer, Work task, Map<Pool, List<Upcoming>> loads, Map<Pool, Double> shares) {
        double share = Math.min(1, offer.share(task.job()));
        loads.get(offer.pool()).add(new Upcoming(task.remainingS(), share, task.count()));
        shares.merge(offer.pool(), task.count() * share, Double::sum);
    }

    /**
     * Machines for the expected CPUs. What there is comes first, spot before ordinary: a pool that
     * may have machines again after a refusal must not draw the demand away from machines that
     * stand, or all of those would be returned at once.
     */
    public static Map<Pool, Integer> floor(List<Offer> offers, Expected expected) {
        Map<Pool, Double> cpus = new HashMap<>();
        double any = fill(offers, true, false, expected.anyCpus(), cpus);
        double ordinary = fill(offers, false, false, expected.ordinaryCpus(), cpus);
        any = fill(offers, false, false, any, cpus);
        any = fill(offers, true, true, any, cpus);
        fill(offers, false, true, ordinary + any, cpus);
        Map<Pool, Integer> machines = new HashMap<>();
        for (Offer offer : offers) {
            machines.put(
                    offer.pool(),
                    (int) Math.ceil(cpus.getOrDefault(offer.pool(), 0.0) / offer.cpus() - 0.05));
        }
        return machines;
    }

    private static Offer find(List<Offer> offers, Pool pool) {
        return offers.stream().filter(o -> o.pool().equals(pool)).findFirst().orElse(null);
    }

    /**
     * Where a waiting task is expected to go: room that stands, else a pool that gives machines,
     * else any; the cheapest.
     */
    private static Offer choose(List<Offer> offers, JobSpec job, Map<Pool, Double> shares) {
        Offer best = null;
        int bestClass = 3;
        for (Offer offer : offers) {
            boolean allowed =
                    (job.spot() || !offer.pool().spot())
                            && (job.types() == null || job.types().contains(offer.pool().type()));
            double share = offer.share(job);
            if (!allowed || share > 1) {
                continue;
            }
            int itsClass =
                    shares.getOrDefault(offer.pool(), 0.0) + share <= offer.present()
                            ? 0
                            : offer.open() ? 1 : 2;
            if (itsClass < bestClass
                    || itsClass == bestClass && cheaper(offer, best, share, best.share(job))) {
                best = offer;
                bestClass = itsClass;
            }
        }
        return best;
    }

    /** Prices within a tenth are alike, since they move; then the sooner one is the better. */
    static boolean cheaper(Offer first, Offer second, double firstShare, double secondShare) {
        double firstCost = first.price() * firstShare;
        double secondCost = second.price() * secondShare;
        return firstCost * ALIKE < secondCost
                || firstCost < secondCost * ALIKE && first.bootS() < second.bootS();
    }

    /**
     * Puts expected CPUs on the pools of one kind, the cheapest first: on what stands, or on what
     * can be had; gives back the rest.
     */
    private static double fill(
            List<Offer> offers, boolean spot, boolean more, double cpus, Map<Pool, Double> taken) {
        List<Offer> kind =
                offers.stream()
                        .filter(o -> o.pool().spot() == spot && (!more || o.open()))
                        .sorted(
                                Comparator.comparingDouble(
                                                (Offer o) ->
                                                        Math.rint(
                                                                10
                                                                        * Math.log(
                                                                                o.price()
                                                                                        / o
                                                                                                .cpus())))
                                        .thenComparingDouble(Offer::bootS)
                                        .thenComparing(Offer::pool))
                        .toList();
        double left = cpus;
        for (Offer offer : kind) {
            double free = offer.present() * offer.cpus() - taken.getOrDefault(offer.pool(), 0.0);
            double takes = more ? left : Math.max(0, Math.min(left, free));
            taken.merge(offer.pool(), takes, Double::sum);
            left -= takes;
        }
        return left;
    }
}
