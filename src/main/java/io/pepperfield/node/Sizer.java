package io.pepperfield.node;

import io.pepperfield.config.Operators;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.predict.Predictor;
import io.pepperfield.predict.ReadyTimes;
import io.pepperfield.steering.DemandWindow;
import io.pepperfield.steering.Pool;
import io.pepperfield.steering.Steering;
import io.pepperfield.steering.ZoneShortage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** WIRE's loop: projects the load, rents what is short and returns what is surplus. */
final class Sizer {

    private static final Logger LOG = LoggerFactory.getLogger(Sizer.class);

    /**
     * Part of the time for which an aim allows that is planned with; the rest is for booting and
     * bad luck.
     */
    private static final double AIM_RESERVE = 0.5;

    private final ClusterState cluster;
    private final JobPredictions predictions;
    private final FleetSupply supply;
    private final PoolResizer resizer;
    private final DemandWindow ordinaryDemand;
    private final DemandWindow eagerDemand;
    private final DemandWindow patientDemand;
    private final Map<Pool, DemandWindow> wanted = new HashMap<>();
    private final double startedAt;
    private final double unitS;
    private double intervalS;
    private double steeredAt = Double.NEGATIVE_INFINITY;

    Sizer(ClusterState cluster) {
        this.cluster = cluster;
        this.predictions = new JobPredictions(cluster);
        this.supply = new FleetSupply(cluster);
        this.resizer = new PoolResizer(cluster);
        this.startedAt = cluster.loop().now();
        this.unitS = cluster.settings().operators().chargeS();
        this.ordinaryDemand = new DemandWindow(unitS);
        this.eagerDemand = new DemandWindow(unitS);
        this.patientDemand = new DemandWindow(unitS);
    }

    void finished(Job job, double ranS) {
        predictions.finished(job, ranS);
    }

    void tick(double now) {
        if (now - steeredAt >= cluster.reportS() / 2 && cluster.types().known()) {
            steeredAt = now;
            steer(now);
            cluster.passes().record("sizing", cluster.loop().now() - now);
        }
    }

    private void steer(double now) {
        intervalS = cluster.boots().longest();
        Projection projection = new Projection(now);
        projection.addAlive();
        projection.addWaiting();
        projection.addReadySoon();
        Demand demand = projection.demand;
        ordinaryDemand.add(now, demand.ordinary);
        eagerDemand.add(now, demand.eager);
        patientDemand.add(now, demand.patient);
        List<Steering.Offer> offers = supply.offers(now);
        Map<Pool, Integer> targets = targets(projection, offers);
        // What is asked for at this moment is no surplus, whatever was asked for of late; and a new
        // leader has not seen what came and went in the time that a boot takes.
        Map<Pool, Integer> needed =
                Steering.floor(offers, new Steering.Expected(demand.ordinary, demand.all));
        LOG.debug(
                "steering: demand {} {} {}, targets {}, offers {}",
                demand.ordinary,
                demand.eager,
                demand.patient,
                targets,
                offers);
        Map<Pool, Map<String, Integer>> shortages = shortages(projection, offers, now);
        for (Steering.Offer offer : offers) {
            Pool pool = offer.pool();
            int target = targets.getOrDefault(pool, 0);
            Map<String, Integer> shortage = shortages.getOrDefault(pool, Map.of());
            grow(offer, target, shortage);
            shrink(offer, Math.max(target, needed.get(pool)), shortage.keySet(), now);
        }
    }

    /** WIRE's counts, beside those for work that is expected by what came of late. */
    private Map<Pool, Integer> targets(Projection projection, List<Steering.Offer> offers) {
        Operators operators = cluster.settings().operators();
        // The median of a rising demand lags half a unit behind, and a boot comes on top: what
        // waits now counts as it is.
        double patient =
                Math.max(projection.demand.patient, patientDemand.quantile(operators.steady()));
        return Steering.targets(
                offers,
                projection.work,
                new Steering.Expected(
                        ordinaryDemand.quantile(operators.headroom()),
                        eagerDemand.quantile(operators.headroom()) + patient),
                unitS,
                operators.partlyShare());
    }

    /** What single zones lack for work that may go nowhere else. */
    private Map<Pool, Map<String, Integer>> shortages(
            Projection projection, List<Steering.Offer> offers, double now) {
        if (projection.bound.isEmpty()) {
            return Map.of();
        }
        return ZoneShortage.of(
                projection.bound,
                supply.standing(projection.runTimes, intervalS, now),
                supply.sources(offers),
                unitS,
                cluster.settings().operators().partlyShare());
    }

    private void grow(Steering.Offer offer, int target, Map<String, Integer> shortage) {
        int inZones = shortage.values().stream().mapToInt(Integer::intValue).sum();
        int missing = Math.max(target - offer.present(), inZones);
        if (missing > 0) {
            resizer.rent(offer.pool(), missing, shortage);
        }
    }

    /**
     * To rent again costs a boot: a surplus must have stood that long before returning it can pay.
     */
    private void shrink(Steering.Offer offer, int wantedNow, Set<String> shortZones, double now) {
        DemandWindow kept =
                wanted.computeIfAbsent(
                        offer.pool(),
                        pool -> new DemandWindow(cluster.types().get(pool.type()).bootS()));
        kept.add(now, wantedNow);
        int most = (int) kept.quantile(1);
        boolean seasoned = now - startedAt >= intervalS;
        if (seasoned && most < offer.present()) {
            int surplus = offer.present() - most;
            resizer.shrink(offer.pool(), surplus, shortZones, intervalS, now);
        }
    }

    /** What is predicted to ask for room at the beginning of the next interval. */
    private final class Projection {
        final List<Steering.Work> work = new ArrayList<>();
        final List<ZoneShortage.Bound> bound = new ArrayList<>();
        final Map<Job, Double> runTimes = new HashMap<>();
        final Demand demand = new Demand();

        /** What each team may still use of CPUs. */
        private final Map<String, Double> left = new HashMap<>();

        private final double now;

        Projection(double now) {
            this.now = now;
            cluster.settings()
                    .deployment()
                    .teams()
                    .forEach(
                            (name, team) ->
                                    left.put(name, team.cpusMax() - cluster.ledger().cpus(name)));
        }

        /** Tasks that may be alive, as far as they go on beyond the interval. */
        void addAlive() {
            for (Job job : cluster.ledger().jobs()) {
                if (job.end() != null || job.suspect()) {
                    continue;
                }
                double runTime = predictions.runTime(job, now);
                runTimes.put(job, runTime);
                for (Attempt attempt : cluster.ledger().live(job)) {
                    double ranS = attempt.running() ? now - attempt.runningSince() : 0;
                    double remaining = Predictor.remaining(runTime, ranS) - intervalS;
                    if (remaining > 0) {
                        work.add(new Steering.Work(job.spec, remaining, attempt.machine.pool(), 1));
                    }
                    demand.add(job, ranS, now, 1);
                }
            }
        }

        /** Tasks that could begin now. */
        void addWaiting() {
            for (Job job : cluster.jobs().values()) {
                job.times.learn();
                int waiting = job.waitingCount();
                if (job.end() != null || waiting == 0 || job.suspect()) {
                    continue;
                }
                double runTime = runTimes.computeIfAbsent(job, j -> predictions.runTime(j, now));
                int counted = withinLimit(job, waiting);
                if (counted == 0) {
                    continue;
                }
                work.add(new Steering.Work(job.spec, runTime, null, counted));
                ZoneShortage.Bound zoned = supply.bound(job, runTime, counted);
                if (zoned != null) {
                    bound.add(zoned);
                }
                demand.add(job, 0, now, counted);
            }
        }

        /**
         * What waits for other jobs counts if these are predicted to end within the interval, as
         * far as its team's limit leaves room.
         */
        void addReadySoon() {
            List<Job> awaiting =
                    cluster.jobs().values().stream()
                            .filter(job -> job.end() == null && job.isAwaiting())
                            .toList();
            if (awaiting.isEmpty()) {
                return;
            }
            ReadyTimes times =
                    new ReadyTimes(
                            id -> predictions.needed(cluster.jobs().get(id)),
                            id -> predictions.remaining(cluster.jobs().get(id), now));
            for (Job job : awaiting) {
                if (times.readyIn(job.spec.id()) > intervalS) {
                    continue;
                }
                int counted = withinLimit(job, job.spec.tasks());
                if (counted > 0) {
                    double runTime = predictions.expected(job);
                    work.add(new Steering.Work(job.spec, runTime, null, counted));
                }
            }
        }

        /**
         * How many of the tasks the team's limit allows; they use it up. Tasks beyond it cannot run
         * next, and machines for them would stand idle.
         */
        private int withinLimit(Job job, int tasks) {
            double most = left.getOrDefault(job.spec.team(), 0.0) / job.spec.cpus();
            int counted = (int) Math.min(tasks, Math.max(0, most));
            if (counted > 0) {
                left.merge(job.spec.team(), -counted * job.spec.cpus(), Double::sum);
            }
            return counted;
        }
    }

    /** CPUs asked for at this moment, by what they can wait for. */
    private final class Demand {
        double ordinary;
        double eager;
        double patient;
        double all;

        /**
         * Work that can wait counts by the part that it would fill of the time left for it: until
         * its class should be complete, with a reserve, and no longer than a charging unit, by
         * which WIRE counts machines.
         */
        void add(Job of, double ranS, double now, int tasks) {
            JobSpec job = of.spec;
            double cpus = tasks * job.cpus();
            if (!job.spot()) {
                ordinary += cpus;
                return;
            }
            all += cpus;
            // A wait longer than any boot is met by renting when the work comes, and is no reason
            // to keep machines for it.
            if (cluster.aims().wait(job.workload()) > intervalS) {
                double left = Predictor.remaining(predictions.expected(job), ranS);
                double age = now - of.readyAt();
                double time =
                        Math.min(
                                unitS,
                                AIM_RESERVE * cluster.aims().finish(job.workload(), age + left)
                                        - age);
                patient += cpus * Steering.weight(left, time);
            } else {
                eager += cpus;
            }
        }
    }
}
