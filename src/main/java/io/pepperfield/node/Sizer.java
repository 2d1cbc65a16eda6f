package io.pepperfield.node;

import io.pepperfield.cloud.MachineType;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.predict.ClassTimes;
import io.pepperfield.predict.Predictor;
import io.pepperfield.predict.ReadyTimes;
import io.pepperfield.steering.DemandWindow;
import io.pepperfield.steering.Pool;
import io.pepperfield.steering.Steering;
import io.pepperfield.steering.ZoneShortage;
import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;
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
    private final ClassTimes classTimes = new ClassTimes();
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
        this.startedAt = cluster.loop().now();
        this.unitS = cluster.settings().operators().chargeS();
        this.ordinaryDemand = new DemandWindow(unitS);
        this.eagerDemand = new DemandWindow(unitS);
        this.patientDemand = new DemandWindow(unitS);
    }

    void finished(Job job, double ranS) {
        job.times.finished(ranS, OptionalDouble.empty());
        classTimes.finished(job.spec.workload(), ranS);
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
        List<Steering.Work> work = new ArrayList<>();
        List<ZoneShortage.Bound> bound = new ArrayList<>();
        Demand demand = new Demand();
        Map<String, Double> left = new HashMap<>();
        cluster.settings()
                .deployment()
                .teams()
                .forEach(
                        (name, team) ->
                                left.put(name, team.cpusMax() - cluster.ledger().cpus(name)));
        Map<Job, Double> runTimes = new HashMap<>();
        for (Job job : cluster.ledger().jobs()) {
            if (job.end() != null || job.suspect()) {
                continue;
            }
            double runTime = runTime(job, now);
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
        for (Job job : cluster.jobs().values()) {
            job.times.learn();
            int waiting = job.waitingCount();
            if (job.end() != null || waiting == 0 || job.suspect()) {
                continue;
            }
            double runTime = runTimes.computeIfAbsent(job, j -> runTime(j, now));
            // Tasks beyond the team's limit cannot run next; machines for them would stand idle.
            double most = left.getOrDefault(job.spec.team(), 0.0) / job.spec.cpus();
            int counted = (int) Math.min(waiting, Math.max(0, most));
            if (counted > 0) {
                left.merge(job.spec.team(), -counted * job.spec.cpus(), Double::sum);
                work.add(new Steering.Work(job.spec, runTime, null, counted));
                ZoneShortage.Bound zoned = bound(job, runTime, counted);
                if (zoned != null) {
                    bound.add(zoned);
                }
                demand.add(job, 0, now, counted);
            }
        }
        addReadySoon(work, left, now);
        ordinaryDemand.add(now, demand.ordinary);
        eagerDemand.add(now, demand.eager);
        patientDemand.add(now, demand.patient);
        double headroom = cluster.settings().operators().headroom();
        List<Steering.Offer> offers = offers(now);
        // The median of a rising demand lags half a unit behind, and a boot comes on top: what
        // waits now counts as it is.
        double patient =
                Math.max(
                        demand.patient,
                        patientDemand.quantile(cluster.settings().operators().steady()));
        Map<Pool, Integer> targets =
                Steering.targets(
                        offers,
                        work,
                        new Steering.Expected(
                                ordinaryDemand.quantile(headroom),
                                eagerDemand.quantile(headroom) + patient),
                        unitS,
                        cluster.settings().operators().partlyShare());
        // What is asked for at this moment is no surplus, whatever was asked for of late; and a new
        // leader has not seen
        // what came and went in the time that a boot takes.
        Map<Pool, Integer> needed =
                Steering.floor(offers, new Steering.Expected(demand.ordinary, demand.all));
        boolean seasoned = now - startedAt >= intervalS;
        LOG.debug(
                "steering: demand {} {} {}, targets {}, offers {}",
                demand.ordinary,
                demand.eager,
                demand.patient,
                targets,
                offers);
        Map<Pool, Map<String, Integer>> shortages =
                bound.isEmpty()
                        ? Map.of()
                        : ZoneShortage.of(
                                bound,
                                standing(runTimes, now),
                                sources(offers),
                                unitS,
                                cluster.settings().operators().partlyShare());
        for (Steering.Offer offer : offers) {
            int target = targets.getOrDefault(offer.pool(), 0);
            Map<String, Integer> shortage = shortages.getOrDefault(offer.pool(), Map.of());
            int missing =
                    Math.max(
                            target - offer.present(),
                            shortage.values().stream().mapToInt(Integer::intValue).sum());
            if (missing > 0) {
                rent(offer.pool(), missing, shortage);
            }
            // To rent again costs a boot; a surplus must have stood that long before returning it
            // can pay.
            DemandWindow kept =
                    wanted.computeIfAbsent(
                            offer.pool(),
                            p ->
                                    new DemandWindow(
                                            cluster.types().get(offer.pool().type()).bootS()));
            kept.add(now, Math.max(target, needed.get(offer.pool())));
            int most = (int) kept.quantile(1);
            if (seasoned && most < offer.present()) {
                shrink(offer.pool(), offer.present() - most, shortage.keySet(), now);
            }
        }
    }

    /**
     * What waits for other jobs counts if these are predicted to end within the interval, as far as
     * its team's limit leaves room.
     */
    private void addReadySoon(List<Steering.Work> work, Map<String, Double> left, double now) {
        List<Job> awaiting =
                cluster.jobs().values().stream()
                        .filter(job -> job.end() == null && job.isAwaiting())
                        .toList();
        if (awaiting.isEmpty()) {
            return;
        }
        ReadyTimes times =
                new ReadyTimes(
                        id -> needed(cluster.jobs().get(id)),
                        id -> remaining(cluster.jobs().get(id), now));
        for (Job job : awaiting) {
            int counted =
                    (int)
                            Math.min(
                                    job.spec.tasks(),
                                    Math.max(
                                            0,
                                            left.getOrDefault(job.spec.team(), 0.0)
                                                    / job.spec.cpus()));
            if (counted > 0 && times.readyIn(job.spec.id()) <= intervalS) {
                left.merge(job.spec.team(), -counted * job.spec.cpus(), Double::sum);
                work.add(new Steering.Work(job.spec, expected(job), null, counted));
            }
        }
    }

    /**
     * What it needs and is not over: one that this leader does not have is done, or its end is
     * about to be known.
     */
    private List<String> needed(Job job) {
        return job.spec.awaits().stream()
                .filter(
                        id ->
                                cluster.jobs().containsKey(id)
                                        && cluster.jobs().get(id).end() == null)
                .toList();
    }

    private double expected(Job job) {
        return job.spec.service()
                ? Double.POSITIVE_INFINITY
                : classTimes.expected(job.spec.workload(), job.spec.expectedS());
    }

    /** Until its last task ends, as if room for all that wait were there. */
    private double remaining(Job job, double now) {
        double runTime = job.times.count() == 0 ? expected(job) : runTime(job, now);
        if (job.isAwaiting() || job.waitingCount() > 0) {
            return runTime;
        }
        return cluster.ledger().live(job).stream()
                .mapToDouble(
                        attempt ->
                                Predictor.remaining(
                                        runTime,
                                        attempt.running() ? now - attempt.runningSince() : 0))
                .max()
                .orElse(0);
    }

    /** WIRE's prediction for a task of the job; a replica has no end in sight. */
    private double runTime(Job job, double now) {
        if (job.spec.service()) {
            return Double.POSITIVE_INFINITY;
        }
        DoubleArrayList running = new DoubleArrayList();
        if (job.times.count() == 0) {
            for (Attempt attempt : cluster.ledger().live(job)) {
                if (attempt.running()) {
                    running.add(now - attempt.runningSince());
                }
            }
        }
        return Predictor.runTime(job.times, running, true, OptionalDouble.empty());
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
                double left =
                        Predictor.remaining(
                                classTimes.expected(job.workload(), job.expectedS()), ranS);
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

    private List<Steering.Offer> offers(double now) {
        Map<Pool, Integer> present = new HashMap<>();
        for (Machine machine : cluster.fleet().machines()) {
            if (countedOn(machine, now)) {
                present.merge(machine.pool(), 1, Integer::sum);
            }
        }
        List<Steering.Offer> offers = new ArrayList<>();
        for (MachineType type : cluster.types().all()) {
            for (boolean spot : new boolean[] {false, true}) {
                Pool pool = new Pool(type.name(), spot);
                boolean open =
                        type.zones().stream().anyMatch(zone -> cluster.renting().open(pool, zone));
                offers.add(
                        new Steering.Offer(
                                pool,
                                type.cpus(),
                                type.gpus(),
                                type.memGb(),
                                type.price(spot),
                                type.zones().stream()
                                        .mapToDouble(zone -> cluster.boots().expected(type, zone))
                                        .min()
                                        .orElse(type.bootS()),
                                present.getOrDefault(pool, 0) + cluster.renting().underWay(pool),
                                open));
            }
        }
        return offers;
    }

    /** What of a job's waiting tasks only one zone will do for, or null. */
    private ZoneShortage.Bound bound(Job job, double runTime, int waiting) {
        JobSpec spec = job.spec;
        if (spec.zone() == null && !spec.oneZone() && !spec.spread()) {
            return null;
        }
        Set<String> zones =
                cluster.types().all().stream()
                        .filter(type -> spec.types() == null || spec.types().contains(type.name()))
                        .flatMap(type -> type.zones().stream())
                        .collect(Collectors.toSet());
        return ZoneShortage.bound(spec, runTime, waiting, cluster.ledger().zones(job), zones);
    }

    /**
     * What stands or is coming, less what is alive there and neither being stopped nor expected to
     * end within the interval.
     */
    private List<ZoneShortage.Standing> standing(Map<Job, Double> runTimes, double now) {
        List<ZoneShortage.Standing> standing = new ArrayList<>();
        for (Machine machine : cluster.fleet().machines()) {
            MachineType type = cluster.types().get(machine.type());
            if (type == null || !countedOn(machine, now)) {
                continue;
            }
            double cpus = machine.freeCpus(type);
            double gpus = machine.freeGpus(type);
            double memGb = machine.freeMemGb(type);
            for (Attempt attempt : machine.attempts()) {
                JobSpec spec = attempt.job.spec;
                if (attempt.live()
                        && (attempt.stopWanted()
                                || endsSoon(
                                        attempt, runTimes.getOrDefault(attempt.job, 0.0), now))) {
                    cpus += spec.cpus();
                    gpus += spec.gpus();
                    memGb += spec.memGb();
                }
            }
            standing.add(
                    new ZoneShortage.Standing(machine.pool(), machine.zone(), cpus, gpus, memGb));
        }
        for (MachineType type : cluster.types().all()) {
            for (boolean spot : new boolean[] {false, true}) {
                Pool pool = new Pool(type.name(), spot);
                for (String zone : type.zones()) {
                    for (int i = cluster.renting().underWay(pool, zone); i > 0; i--) {
                        standing.add(
                                new ZoneShortage.Standing(
                                        pool, zone, type.cpus(), type.gpus(), type.memGb()));
                    }
                }
            }
        }
        return standing;
    }

    /**
     * By its prediction; one that has run for longer than predicted may go on for ever, and keeps
     * its place.
     */
    private boolean endsSoon(Attempt attempt, double runTime, double now) {
        double remaining =
                Predictor.remaining(runTime, attempt.running() ? now - attempt.runningSince() : 0);
        return remaining > 0 && remaining <= intervalS;
    }

    private List<ZoneShortage.Source> sources(List<Steering.Offer> offers) {
        List<ZoneShortage.Source> sources = new ArrayList<>();
        for (Steering.Offer offer : offers) {
            for (String zone : cluster.types().get(offer.pool().type()).zones()) {
                if (cluster.renting().open(offer.pool(), zone)) {
                    sources.add(new ZoneShortage.Source(offer, zone));
                }
            }
        }
        return sources;
    }

    /**
     * Whether it stands or is on its way; a silent machine is not counted on: what takes its place
     * boots meanwhile.
     */
    private boolean countedOn(Machine machine, double now) {
        boolean coming =
                machine.up()
                        ? machine.lostFor(now) <= cluster.silentS()
                        : cluster.boots().coming(machine, now);
        return !machine.releasing() && !machine.draining() && coming;
    }

    /**
     * Batched calls for each zone, so that the zones that still give machines come to about the
     * same number.
     *
     * @param first what is short in single zones, which is part of the count
     */
    private void rent(Pool pool, int count, Map<String, Integer> first) {
        Map<String, Integer> perZone = new HashMap<>();
        for (Machine machine : cluster.fleet().machines()) {
            if (machine.pool().equals(pool)) {
                perZone.merge(machine.zone(), 1, Integer::sum);
            }
        }
        List<String> open =
                cluster.types().get(pool.type()).zones().stream()
                        .filter(z -> cluster.renting().open(pool, z))
                        .sorted()
                        .toList();
        if (open.isEmpty()) {
            return;
        }
        // Where machines come late or not at all, what waits has nowhere to go: such zones only if
        // there is no other.
        List<String> prompt =
                open.stream()
                        .filter(z -> !cluster.boots().late(cluster.types().get(pool.type()), z))
                        .toList();
        List<String> zones = prompt.isEmpty() ? open : prompt;
        Map<String, Integer> shares = new LinkedHashMap<>(first);
        first.forEach((zone, n) -> perZone.merge(zone, n, Integer::sum));
        for (int i = first.values().stream().mapToInt(Integer::intValue).sum(); i < count; i++) {
            String zone =
                    zones.stream()
                            .min(Comparator.comparingInt(z -> perZone.getOrDefault(z, 0)))
                            .orElseThrow();
            perZone.merge(zone, 1, Integer::sum);
            shares.merge(zone, 1, Integer::sum);
        }
        shares.forEach((zone, n) -> cluster.renting().rent(pool, zone, n));
    }

    /**
     * WIRE's algorithm 2: of a surplus those go whose charge ends within the interval and that are
     * cheap to restart. Not from zones that are short at the same time: what is rented there would
     * be returned and rented for ever.
     */
    private void shrink(Pool pool, int surplus, Set<String> shortZones, double now) {
        /** A machine that could be returned, and what work its return would cost. */
        record Candidate(Machine machine, double cost) {}
        double most = cluster.settings().operators().restartShare() * unitS;
        cluster.fleet().machines().stream()
                .filter(
                        m ->
                                m.up()
                                        && !m.releasing()
                                        && !m.draining()
                                        && m.pool().equals(pool)
                                        && !m.holdsReplica()
                                        && !shortZones.contains(m.zone()))
                .filter(m -> unitS - (now - m.rentedAt()) <= Math.min(intervalS, cluster.reportS()))
                .map(m -> new Candidate(m, restartCost(m, now)))
                .filter(c -> c.cost <= most)
                .sorted(
                        Comparator.comparingDouble(Candidate::cost)
                                .thenComparing(c -> c.machine.name))
                .limit(surplus)
                .toList()
                .forEach(c -> cluster.renting().release(c.machine, "surplus"));
    }

    private static double restartCost(Machine machine, double now) {
        double cost = 0;
        for (Attempt attempt : machine.attempts()) {
            if (attempt.live()) {
                cost = Math.max(cost, ClusterState.lostS(attempt, now));
            }
        }
        return cost;
    }
}
