package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Which waiting task goes to which machine. A queue for each team, served in turn: work within a guarantee first, then by
 * rank, then the team that uses least of its share. Pure: the same input gives the same choices.
 */
public final class Placer {

    public record Choice(String job, String machine) { }

    /** What decides whether a task finds a place, where its job's other tasks have no say in it. */
    private record Need(double cpus, double gpus, double memGb, List<String> types, String zone, boolean spot, String image) { }

    private static final double SLACK = 1e-6;
    private static final Comparator<Want> IN_TEAM = Comparator.comparing((Want w) -> !w.overdue)
            .thenComparing(w -> !w.promised).thenComparing(w -> !w.guaranteed).thenComparing(w -> w.job.rank()).thenComparing(w -> !w.job.service())
            .thenComparing(w -> -w.waitedForSize).thenComparing(w -> w.submittedAt)
            .thenComparing(w -> w.job.id());

    private Placer() { }

    public static List<Choice> place(List<Want> wants, List<Room> rooms, Map<String, Share> shares) {
        Map<String, List<Want>> queues = new HashMap<>();
        for (Want want : wants) {
            if (shares.containsKey(want.job.team())) {
                queues.computeIfAbsent(want.job.team(), t -> new ArrayList<>()).add(want);
            }
        }
        queues.values().forEach(queue -> queue.sort(IN_TEAM));
        List<String> teams = queues.keySet().stream().sorted().toList();
        List<Choice> choices = new ArrayList<>();
        // Of a swarm of like jobs that find no room one looks at the whole fleet, not each.
        Set<Need> hopeless = new HashSet<>();
        while (true) {
            Want next = null;
            for (String team : teams) {
                Want head = head(queues.get(team), shares.get(team));
                if (head != null && (next == null || before(head, next, shares))) {
                    next = head;
                }
            }
            if (next == null) {
                return choices;
            }
            Share share = shares.get(next.job.team());
            if (!next.job.gang()) {
                Need need = need(next);
                Room room = need != null && hopeless.contains(need) ? null : choose(next, rooms);
                if (room == null) {
                    if (need != null) {
                        hopeless.add(need);
                    }
                    // Nothing fits this one now; what comes behind may be smaller or allowed elsewhere.
                    next.stuck = true;
                    if (next.overdue) {
                        keepRoom(next, rooms);
                    }
                } else {
                    fill(next, room, share, choices);
                }
                continue;
            }
            List<Room> taken = new ArrayList<>();
            for (Room room = null; next.waiting > 0 && (room = choose(next, rooms)) != null; ) {
                take(next, room, share, 1);
                taken.add(room);
            }
            if (next.waiting > 0) {
                // A gang that has waited too long keeps what room it found: smaller work would take each piece of it for ever.
                for (Room room : taken) {
                    take(next, room, share, -1);
                    if (next.overdue) {
                        room.free(next.job, -1);
                    }
                }
                next.stuck = true;
                hopeless.clear();
                continue;
            }
            for (Room room : taken) {
                choices.add(new Choice(next.job.id(), room.machine));
            }
        }
    }

    /** The machine that comes nearest to having room takes nothing else: smaller tasks would take each piece for ever. */
    private static void keepRoom(Want want, List<Room> rooms) {
        Room nearest = null;
        for (Room room : rooms) {
            if (allowed(want, room) && (nearest == null || room.cpus > nearest.cpus
                    || room.cpus == nearest.cpus && room.machine.compareTo(nearest.machine) < 0)) {
                nearest = room;
            }
        }
        if (nearest != null) {
            nearest.cpus = 0;
        }
    }

    /** Null where zones or machines to avoid make the job a case of its own. */
    private static Need need(Want want) {
        JobSpec job = want.job;
        return job.oneZone() || job.spread() || !want.avoid.isEmpty() ? null : new Need(job.cpus(), job.gpus(), job.memGb(),
                job.types(), job.zone(), job.spot(), want.warmOnly ? job.image() : "");
    }

    /** A turn fills a machine, so that a large array does not cost a look at the whole fleet for each task. */
    private static void fill(Want want, Room room, Share share, List<Choice> choices) {
        do {
            take(want, room, share, 1);
            choices.add(new Choice(want.job.id(), room.machine));
        } while (want.waiting > 0 && !want.job.spread() && fits(want, room) && share.allows(want.job.cpus(), want.job.gpus()));
    }

    private static Want head(List<Want> queue, Share share) {
        for (Want want : queue) {
            int turn = want.job.gang() ? want.waiting : 1;
            // A gang begins again only when all of its earlier attempts are gone.
            if (want.waiting == 0 || want.stuck || want.job.gang() && want.live > 0) {
                continue;
            }
            if (share.allows(turn * want.job.cpus(), turn * want.job.gpus())) {
                return want;
            }
            if (want.overdue) {
                // The rest of the team stands back until its limit leaves enough for this one.
                return null;
            }
        }
        return null;
    }

    private static boolean before(Want a, Want b, Map<String, Share> shares) {
        if (a.overdue != b.overdue) {
            return a.overdue;
        }
        if (a.promised != b.promised) {
            return a.promised;
        }
        if (a.guaranteed != b.guaranteed) {
            return a.guaranteed;
        }
        if (a.job.rank() != b.job.rank()) {
            return a.job.rank().compareTo(b.job.rank()) < 0;
        }
        int byUse = Double.compare(shares.get(a.job.team()).used(), shares.get(b.job.team()).used());
        return byUse != 0 ? byUse < 0 : a.submittedAt < b.submittedAt;
    }

    /** Books that many tasks on a machine; a negative number takes them back. */
    static void take(Want want, Room room, Share share, int tasks) {
        want.waiting -= tasks;
        want.perZone.merge(room.zone, tasks, Integer::sum);
        room.free(want.job, -tasks);
        share.free(want.job, -tasks);
    }

    private static Room choose(Want want, List<Room> rooms) {
        Room best = null;
        for (Room room : rooms) {
            if (fits(want, room) && (best == null || better(want, room, best))) {
                best = room;
            }
        }
        return best;
    }

    static boolean fits(Want want, Room room) {
        return holds(want, room.cpus, room.gpus, room.memGb) && allowed(want, room) && !want.avoid.contains(room.machine);
    }

    static boolean holds(Want want, double cpus, double gpus, double memGb) {
        return cpus + SLACK >= want.job.cpus() && memGb + SLACK >= want.job.memGb() && gpus + SLACK >= want.job.gpus();
    }

    /** Type, zone and kind, with regard to where the job's other tasks may be alive at this moment. */
    static boolean allowed(Want want, Room room) {
        if (!want.job.allows(room.type, room.zone, room.spot) || want.warmOnly && !room.images.contains(want.job.image())) {
            return false;
        }
        int here = want.perZone.getOrDefault(room.zone, 0);
        if (want.job.oneZone()) {
            for (Map.Entry<String, Integer> zone : want.perZone.entrySet()) {
                if (zone.getValue() > 0 && !zone.getKey().equals(room.zone)) {
                    return false;
                }
            }
        }
        return here < want.job.mostPerZone();
    }

    private static boolean better(Want want, Room a, Room b) {
        boolean imageA = a.images.contains(want.job.image());
        boolean imageB = b.images.contains(want.job.image());
        if (imageA != imageB) {
            return imageA;
        }
        if (a.spot != b.spot) {
            // Spot machines cost less and take nothing else away; where the job allows both they come first.
            return a.spot;
        }
        int hereA = want.job.spread() ? want.perZone.getOrDefault(a.zone, 0) : 0;
        int hereB = want.job.spread() ? want.perZone.getOrDefault(b.zone, 0) : 0;
        if (hereA != hereB) {
            return hereA < hereB;
        }
        // The fullest first, so that the emptiest can be given back.
        return a.cpus != b.cpus ? a.cpus < b.cpus : a.machine.compareTo(b.machine) < 0;
    }
}
