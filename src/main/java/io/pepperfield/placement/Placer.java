package io.pepperfield.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which waiting task goes to which machine. A queue for each team, served in turn: work within a
 * guarantee first, then by rank, then the team that uses least of its share. Pure: the same input
 * gives the same choices.
 */
public final class Placer {

    /** A place for one task of a job. */
    public record Choice(String job, String machine) {}

    private static final double SLACK = 1e-6;
    private static final Comparator<PlacementRequest> IN_TEAM =
            Comparator.comparing((PlacementRequest w) -> !w.overdue)
                    .thenComparing(w -> !w.promised)
                    .thenComparing(w -> !w.guaranteed)
                    .thenComparing(w -> w.job.rank())
                    .thenComparing(w -> !w.job.service())
                    .thenComparing(w -> -w.waitedForSize)
                    .thenComparing(w -> w.submittedAt)
                    .thenComparing(w -> w.job.id());

    private Placer() {}

    /**
     * Chooses machines for waiting tasks; rooms and shares are reduced by what the chosen tasks
     * take.
     */
    public static List<Choice> place(
            List<PlacementRequest> requests, List<Room> rooms, Map<String, Share> shares) {
        Map<String, List<PlacementRequest>> queues = new HashMap<>();
        for (PlacementRequest request : requests) {
            if (shares.containsKey(request.job.team())) {
                queues.computeIfAbsent(request.job.team(), t -> new ArrayList<>()).add(request);
            }
        }
        queues.values().forEach(queue -> queue.sort(IN_TEAM));
        List<String> teams = queues.keySet().stream().sorted().toList();
        List<Choice> choices = new ArrayList<>();
        UnplacedNeeds unplaced = new UnplacedNeeds();
        while (true) {
            PlacementRequest next = null;
            for (String team : teams) {
                PlacementRequest head = head(queues.get(team), shares.get(team));
                if (head != null && (next == null || before(head, next, shares))) {
                    next = head;
                }
            }
            if (next == null) {
                return choices;
            }
            Share share = shares.get(next.job.team());
            if (!next.job.gang()) {
                boolean covered = unplaced.cover(next);
                Room room = covered ? null : choose(next, rooms);
                if (room == null) {
                    if (!covered) {
                        unplaced.add(next);
                    }
                    // Nothing fits this one now; what comes behind may be smaller or allowed
                    // elsewhere.
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
                // A gang that has waited too long keeps what room it found: smaller work would take
                // each piece of it for ever.
                for (Room room : taken) {
                    take(next, room, share, -1);
                    if (next.overdue) {
                        room.free(next.job, -1);
                    }
                }
                next.stuck = true;
                unplaced.clear();
                continue;
            }
            for (Room room : taken) {
                choices.add(new Choice(next.job.id(), room.machine));
            }
        }
    }

    /**
     * The machine that comes nearest to having room takes nothing else: smaller tasks would take
     * each piece for ever.
     */
    private static void keepRoom(PlacementRequest request, List<Room> rooms) {
        Room nearest = null;
        for (Room room : rooms) {
            // Any other would be kept empty for nothing and for ever.
            if (willFit(request, room)
                    && (nearest == null
                            || room.cpus > nearest.cpus
                            || room.cpus == nearest.cpus
                                    && room.machine.compareTo(nearest.machine) < 0)) {
                nearest = room;
            }
        }
        if (nearest != null) {
            nearest.cpus = 0;
        }
    }

    /**
     * A turn fills a machine, so that a large array does not cost a look at the whole fleet for
     * each task.
     */
    private static void fill(
            PlacementRequest request, Room room, Share share, List<Choice> choices) {
        do {
            take(request, room, share, 1);
            choices.add(new Choice(request.job.id(), room.machine));
        } while (request.waiting > 0
                && !request.job.spread()
                && fits(request, room)
                && share.allows(request.job.cpus(), request.job.gpus()));
    }

    private static PlacementRequest head(List<PlacementRequest> queue, Share share) {
        for (PlacementRequest request : queue) {
            int turn = request.job.gang() ? request.waiting : 1;
            // A gang begins again only when all of its earlier attempts are gone.
            if (request.waiting == 0 || request.stuck || request.job.gang() && request.live > 0) {
                continue;
            }
            if (share.allows(turn * request.job.cpus(), turn * request.job.gpus())) {
                return request;
            }
            if (request.overdue
                    && share.willAllow(turn * request.job.cpus(), turn * request.job.gpus())) {
                // The rest of the team stands back until its limit leaves enough for this one; not
                // where replicas keep it from
                // ever doing so, or all would wait for ever.
                return null;
            }
        }
        return null;
    }

    private static boolean before(
            PlacementRequest first, PlacementRequest second, Map<String, Share> shares) {
        if (first.overdue != second.overdue) {
            return first.overdue;
        }
        if (first.promised != second.promised) {
            return first.promised;
        }
        if (first.guaranteed != second.guaranteed) {
            return first.guaranteed;
        }
        if (first.job.rank() != second.job.rank()) {
            return first.job.rank().compareTo(second.job.rank()) < 0;
        }
        int byUse =
                Double.compare(
                        shares.get(first.job.team()).used(), shares.get(second.job.team()).used());
        return byUse != 0 ? byUse < 0 : first.submittedAt < second.submittedAt;
    }

    /** Books that many tasks on a machine; a negative number takes them back. */
    static void take(PlacementRequest request, Room room, Share share, int tasks) {
        request.waiting -= tasks;
        request.perZone.merge(room.zone, tasks, Integer::sum);
        room.free(request.job, -tasks);
        share.free(request.job, -tasks);
    }

    private static Room choose(PlacementRequest request, List<Room> rooms) {
        Room best = null;
        for (Room room : rooms) {
            if (fits(request, room) && (best == null || better(request, room, best))) {
                best = room;
            }
        }
        return best;
    }

    static boolean fits(PlacementRequest request, Room room) {
        return holds(request, room.cpus, room.gpus, room.memGb)
                && allowed(request, room)
                && !request.avoid.contains(room.machine);
    }

    /**
     * Whether the machine may come to have room for a task: it is neither too small beside its
     * replicas nor one to avoid.
     */
    public static boolean willFit(PlacementRequest request, Room room) {
        return holds(request, room.most.cpus(), room.most.gpus(), room.most.memGb())
                && allowed(request, room)
                && !request.avoid.contains(room.machine);
    }

    static boolean holds(PlacementRequest request, double cpus, double gpus, double memGb) {
        return holdsCpus(request, cpus)
                && memGb + SLACK >= request.job.memGb()
                && gpus + SLACK >= request.job.gpus();
    }

    static boolean holdsCpus(PlacementRequest request, double cpus) {
        return cpus + SLACK >= request.job.cpus();
    }

    /**
     * Type, zone and kind, with regard to where the job's other tasks may be alive at this moment.
     */
    static boolean allowed(PlacementRequest request, Room room) {
        if (!request.job.allows(room.type, room.zone, room.spot)
                || request.warmOnly && !room.images.contains(request.job.image())) {
            return false;
        }
        int here = request.perZone.getOrDefault(room.zone, 0);
        if (request.job.oneZone()) {
            for (Map.Entry<String, Integer> zone : request.perZone.entrySet()) {
                if (zone.getValue() > 0 && !zone.getKey().equals(room.zone)) {
                    return false;
                }
            }
        }
        return here < request.job.mostPerZone();
    }

    private static boolean better(PlacementRequest request, Room first, Room second) {
        boolean firstHasImage = first.images.contains(request.job.image());
        boolean secondHasImage = second.images.contains(request.job.image());
        if (firstHasImage != secondHasImage) {
            return firstHasImage;
        }
        if (first.spot != second.spot) {
            // Spot machines cost less and take nothing else away; where the job allows both they
            // come first.
            return first.spot;
        }
        int firstHere = request.job.spread() ? request.perZone.getOrDefault(first.zone, 0) : 0;
        int secondHere = request.job.spread() ? request.perZone.getOrDefault(second.zone, 0) : 0;
        if (firstHere != secondHere) {
            return firstHere < secondHere;
        }
        // The fullest first, so that the emptiest can be given back.
        return first.cpus != second.cpus
                ? first.cpus < second.cpus
                : first.machine.compareTo(second.machine) < 0;
    }
}
