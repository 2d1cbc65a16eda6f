package io.pepperfield.node;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.predict.Predictor;
import io.pepperfield.steering.Pool;
import io.pepperfield.steering.Steering;
import io.pepperfield.steering.ZoneShortage;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** What machines stand, are coming or can be rented, as steering counts them. */
final class FleetSupply {

    private final ClusterState cluster;

    FleetSupply(ClusterState cluster) {
        this.cluster = cluster;
    }

    /** What can be rented of each pool, and what stands or is coming of it. */
    List<Steering.Offer> offers(double now) {
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
    ZoneShortage.Bound bound(Job job, double runTime, int waiting) {
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
    List<ZoneShortage.Standing> standing(Map<Job, Double> runTimes, double intervalS, double now) {
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
                                        attempt,
                                        runTimes.getOrDefault(attempt.job, 0.0),
                                        intervalS,
                                        now))) {
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
    private static boolean endsSoon(Attempt attempt, double runTime, double intervalS, double now) {
        double remaining =
                Predictor.remaining(runTime, attempt.running() ? now - attempt.runningSince() : 0);
        return remaining > 0 && remaining <= intervalS;
    }

    /** Where more can be rented. */
    List<ZoneShortage.Source> sources(List<Steering.Offer> offers) {
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
}
