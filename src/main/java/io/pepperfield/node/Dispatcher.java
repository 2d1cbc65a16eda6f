package io.pepperfield.node;

import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.placement.PlacementRequest;
import io.pepperfield.placement.Placer;
import io.pepperfield.placement.Preemption;
import io.pepperfield.placement.Room;
import io.pepperfield.placement.Share;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Which waiting task starts where, and what is stopped for it. */
final class Dispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(Dispatcher.class);
    private static final Comparator<Job> BY_AGE =
            Comparator.comparingDouble((Job j) -> j.readyAt()).thenComparing(j -> j.spec.id());

    /**
     * The users' term: the largest jobs, too, begin within four minutes. From a quarter of it on a
     * job comes first.
     */
    private static final double PATIENCE_S = 240.0 / 4;

    /**
     * Part of this process's time that placing may take; what comes meanwhile waits for the next
     * pass.
     */
    private static final double MOST_OF_TIME = 0.2;

    /** What the leader does about the choices. */
    interface Starter {
        void start(Job job, int task, Machine machine);

        void stop(Attempt attempt, double drainS);
    }

    private final ClusterState cluster;
    private final Starter starter;

    /**
     * Jobs for which others are being stopped, and until when the room that this frees is kept for
     * them.
     */
    private final Map<Job, Double> promised = new HashMap<>();

    private final PreemptedRoom preempted = new PreemptedRoom();

    private boolean dirty = true;
    private double placedAt = Double.NEGATIVE_INFINITY;
    private double nextAt = Double.NEGATIVE_INFINITY;

    Dispatcher(ClusterState cluster, Starter starter) {
        this.cluster = cluster;
        this.starter = starter;
    }

    /** Something has changed that may let a task start. */
    void wake() {
        dirty = true;
    }

    void tick(double now) {
        dirty |= now - placedAt >= cluster.reportS();
    }

    /** At the end of each batch of commands. */
    void flush() {
        double now = cluster.loop().now();
        if (!dirty || now < nextAt || !cluster.types().known()) {
            return;
        }
        dirty = false;
        placedAt = now;
        place(now);
        // A pass over a large fleet must leave room for reports and answers, whatever there is to
        // place.
        double took = cluster.loop().now() - now;
        cluster.passes().record("placing", took);
        nextAt = now + Math.max(cluster.reportS() / 50, took / MOST_OF_TIME);
    }

    private void place(double now) {
        List<PlacementRequest> requests = requests(now);
        if (requests.isEmpty()) {
            return;
        }
        Map<String, Share> shares = cluster.shares();
        List<Room> rooms = cluster.rooms(now, false);
        start(Placer.place(requests, rooms, shares));
        JobSpec.Rank lowest = lowestAlive();
        boolean borrowed = shares.values().stream().anyMatch(Share::borrows);
        if (requests.stream()
                .noneMatch(
                        request ->
                                request.stuck() && request.warmOnly()
                                        || mayStopAnything(request, lowest, borrowed))) {
            // When only the lowest wait, as in a long overload, a look at every task of the fleet
            // would find nothing to stop.
            return;
        }
        // To stop lower work on a machine that has the image beats a start on one that must fetch
        // it first.
        Map<String, Attempt> victims = new HashMap<>();
        Map<String, Share> later = new HashMap<>();
        shares.forEach((team, share) -> later.put(team, share.copy()));
        List<Preemption.Place> places = places(cluster.rooms(now, true), later, victims, now);
        stop(
                Preemption.victims(
                        requests.stream().filter(PlacementRequest::warmOnly).toList(),
                        places,
                        later),
                victims);
        requests.forEach(request -> request.warmOnly(false));
        Map<String, PlacementRequest> byJob = new HashMap<>();
        requests.forEach(request -> byJob.put(request.job().id(), request));
        Map<String, Preemption.Place> byMachine = new HashMap<>();
        places.forEach(place -> byMachine.put(place.machine(), place));
        // Starts go by what the teams use as long as the stopped is not gone, or their limits would
        // be passed meanwhile.
        List<Placer.Choice> colder = Placer.place(requests, rooms, shares);
        for (Placer.Choice choice : colder) {
            JobSpec job = byJob.get(choice.job()).job();
            byMachine.get(choice.machine()).book(byJob.get(choice.job()));
            later.get(job.team()).free(job, -1);
        }
        start(colder);
        stop(Preemption.victims(requests, places, later), victims);
        for (PlacementRequest request : requests) {
            if (request.madeRoom()) {
                // As long as a stop takes to show; else what was stopped would only have made way
                // for those in front.
                promised.merge(
                        cluster.jobs().get(request.job().id()), now + cluster.reportS(), Math::max);
            }
        }
    }

    private JobSpec.Rank lowestAlive() {
        return cluster.ledger().jobs().stream()
                .map(job -> job.placed().rank())
                .max(Comparator.naturalOrder())
                .orElse(JobSpec.Rank.PRODUCTION);
    }

    /**
     * Waits for room, and either ranks above something that may be alive or has a guarantee to
     * claim from what is borrowed.
     */
    private static boolean mayStopAnything(
            PlacementRequest request, JobSpec.Rank lowest, boolean borrowed) {
        return !request.trial()
                && (request.stuck() || heldByLimit(request))
                && (request.guaranteed() && borrowed || request.job().rank().compareTo(lowest) < 0);
    }

    /**
     * Waits although machines may have room, and ranks above something: its team's limit may be
     * taken up by lower work.
     */
    private static boolean heldByLimit(PlacementRequest request) {
        return request.waiting() > 0
                && !request.job().gang()
                && request.job().rank().compareTo(JobSpec.Rank.STANDARD) < 0;
    }

    private void start(List<Placer.Choice> choices) {
        for (Placer.Choice choice : choices) {
            Job job = cluster.jobs().get(choice.job());
            starter.start(job, job.nextWaiting(), cluster.fleet().get(choice.machine()));
        }
    }

    private void stop(List<String> chosen, Map<String, Attempt> victims) {
        for (String id : chosen) {
            LOG.debug("stopping {} to free room", id);
            Attempt victim = victims.get(id);
            preempted.stopped(victim.machine.name, cluster.loop().now() + cluster.reportS());
            // At once: to save first would hold up what it is stopped for.
            starter.stop(victim, 0);
        }
    }

    /**
     * The machines and shares as they will be once all that is being stopped is gone, with what
     * else could be stopped.
     */
    private List<Preemption.Place> places(
            List<Room> rooms, Map<String, Share> later, Map<String, Attempt> byId, double now) {
        List<Preemption.Place> places = new ArrayList<>();
        for (Room room : rooms) {
            List<Preemption.Victim> victims = new ArrayList<>();
            for (Attempt attempt : cluster.fleet().get(room.machine()).attempts()) {
                JobSpec spec = attempt.job.spec;
                if (!later.containsKey(spec.team())) {
                    // Of a team that the settings name no longer: left to end, as there is no share
                    // to count it by.
                    continue;
                }
                if (attempt.stopWanted() && attempt.live()) {
                    room.free(spec, 1);
                    later.get(spec.team()).free(spec, 1);
                } else if (attempt.live()
                        && attempt.phase() != Attempt.Phase.INTENDED
                        && attempt.phase() != Attempt.Phase.ORDERED) {
                    String id = attempt.ref.toString();
                    byId.put(id, attempt);
                    victims.add(
                            new Preemption.Victim(
                                    id, attempt.job.placed(), ClusterState.lostS(attempt, now)));
                }
            }
            places.add(new Preemption.Place(room, victims));
        }
        return places;
    }

    /**
     * Whether some machine could have it running within the class's aim, but only without fetching
     * the image.
     */
    private boolean mustBeWarm(JobSpec job) {
        double slowest =
                cluster.types().all().stream()
                        .mapToDouble(MachineType::fetchGbPerS)
                        .filter(rate -> rate > 0)
                        .min()
                        .orElse(Double.POSITIVE_INFINITY);
        return job.imageGb() / slowest > cluster.aims().wait(job.workload()) / 2;
    }

    /**
     * Machines that still keep an ended attempt of a task which waits again: a worker refuses a
     * task that it holds.
     */
    private Map<Job, Set<String>> kept() {
        Map<Job, Set<String>> kept = new HashMap<>();
        for (Machine machine : cluster.fleet().machines()) {
            if (machine.liveCount() < machine.attempts().size()) {
                for (Attempt attempt : machine.attempts()) {
                    if (!attempt.live() && !attempt.job.isDone(attempt.task)) {
                        kept.computeIfAbsent(attempt.job, j -> new HashSet<>()).add(machine.name);
                    }
                }
            }
        }
        return kept;
    }

    private static Set<String> avoided(Job job, Map<Job, Set<String>> kept, double now) {
        Set<String> avoided = job.avoided(now);
        avoided.addAll(kept.getOrDefault(job, Set.of()));
        return avoided;
    }

    /**
     * One of its tasks has run for a charging unit: no mistake shows so late, and a replica is
     * never completed.
     */
    private boolean hasLasted(Job job, double now) {
        return cluster.ledger().live(job).stream()
                .anyMatch(
                        attempt ->
                                attempt.running()
                                        && now - attempt.runningSince()
                                                >= cluster.settings().operators().chargeS());
    }

    List<PlacementRequest> requests(double now) {
        List<PlacementRequest> requests = new ArrayList<>();
        Map<String, Double> before = new HashMap<>();
        promised.values().removeIf(until -> until < now);
        preempted.expire(now);
        List<Job> order = new ArrayList<>(cluster.jobs().values());
        order.sort(BY_AGE);
        Map<Job, Set<String>> kept = null;
        Set<String> overdue = new HashSet<>();
        List<Room> standing = null;
        for (Job job : order) {
            if (job.end() != null || job.isAwaiting()) {
                continue;
            }
            if (job.suspect() && hasLasted(job, now)) {
                // Or its replicas that were lost to bad machines would wait for the others to end,
                // which never do.
                job.succeeded();
            }
            Settings.Team team = cluster.settings().deployment().teams().get(job.spec.team());
            // What fails everywhere must not use up its team's guarantee for the jobs behind it.
            double cpus =
                    before.merge(
                            job.spec.team(),
                            job.suspect() ? 0 : job.spec.tasks() * job.spec.cpus(),
                            Double::sum);
            int waiting = job.startable(cluster.ledger().has(job));
            if (waiting == 0 || team == null || job.notBefore() > now) {
                continue;
            }
            kept = kept == null ? kept() : kept;
            PlacementRequest request =
                    new PlacementRequest(
                            job.placed(),
                            waiting,
                            cpus <= team.cpus() && !job.suspect(),
                            job.readyAt(),
                            cluster.ledger().zones(job),
                            avoided(job, kept, now));
            request.trial(job.suspect());
            request.warmOnly(
                    !job.suspect()
                            && mustBeWarm(job.spec)
                            && now - job.readyAt() < cluster.aims().wait(job.spec.workload()));
            // The oldest of each class: if a swarm came first as a whole, it would have the fleet
            // to itself.
            request.overdue(
                    !job.suspect()
                            && job.doneCount() == 0
                            && !cluster.ledger().has(job)
                            && now - job.readyAt() > PATIENCE_S
                            && !overdue.contains(job.spec.team() + "/" + job.spec.workload())
                            && mayBegin(
                                    request,
                                    standing =
                                            standing == null ? cluster.rooms(now, true) : standing)
                            && overdue.add(job.spec.team() + "/" + job.spec.workload()));
            boolean roomPromised = promised.containsKey(job);
            request.promised(roomPromised);
            if (job.placed().rank() == JobSpec.Rank.BEST_EFFORT
                    && !roomPromised
                    && !request.guaranteed()) {
                request.avoid(preempted.machines());
            }
            request.waited(now - job.readyAt());
            requests.add(request);
        }
        return requests;
    }

    /**
     * Whether some machine may come to have room for it: for what can begin nowhere its team would
     * stand back for ever.
     */
    private static boolean mayBegin(PlacementRequest request, List<Room> standing) {
        return standing.stream().anyMatch(room -> Placer.willFit(request, room));
    }

    /**
     * Whether all replicas of a machine would find places elsewhere now, with what may be stopped
     * for them.
     */
    boolean roomForReplicasOf(Machine lost, double now) {
        Map<String, Share> shares = cluster.shares();
        Map<Job, Integer> replicas = new LinkedHashMap<>();
        for (Attempt attempt : lost.attempts()) {
            if (attempt.live() && attempt.job.spec.service() && attempt.job.end() == null) {
                replicas.merge(attempt.job, 1, Integer::sum);
                shares.get(attempt.job.spec.team()).free(attempt.job.spec, 1);
            }
        }
        List<PlacementRequest> requests = new ArrayList<>();
        Map<String, PlacementRequest> byJob = new HashMap<>();
        replicas.forEach(
                (job, count) -> {
                    Map<String, Integer> zones = cluster.ledger().zones(job);
                    zones.merge(lost.zone(), -count, Integer::sum);
                    PlacementRequest request =
                            new PlacementRequest(
                                    job.spec, count, true, job.readyAt(), zones, Set.of());
                    requests.add(request);
                    byJob.put(job.spec.id(), request);
                });
        List<Room> rooms = cluster.rooms(now, false);
        List<Placer.Choice> choices = Placer.place(requests, rooms, shares);
        if (requests.stream().allMatch(request -> request.waiting() == 0)) {
            return true;
        }
        List<Preemption.Place> places =
                places(cluster.rooms(now, true), shares, new HashMap<>(), now);
        Map<String, Preemption.Place> byMachine = new HashMap<>();
        places.forEach(place -> byMachine.put(place.machine(), place));
        choices.forEach(choice -> byMachine.get(choice.machine()).book(byJob.get(choice.job())));
        Preemption.victims(requests, places, shares);
        return requests.stream().allMatch(request -> request.waiting() == 0);
    }
}
