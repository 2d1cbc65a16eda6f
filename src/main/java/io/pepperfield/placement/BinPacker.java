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
public final class BinPacker {

    /** A place for one task of a job. */
    public record Placement(String jobId, String machineName) {}

    private static final double ROUNDING_TOLERANCE = 1e-6;
    private static final Comparator<PlacementRequest> TEAM_QUEUE_ORDER =
            Comparator.comparing((PlacementRequest w) -> !w.overdue)
                    .thenComparing(w -> !w.reserved)
                    .thenComparing(w -> !w.withinGuarantee)
                    .thenComparing(w -> w.job.priority())
                    .thenComparing(w -> !w.job.isService())
                    .thenComparing(w -> -w.waitPerCpu)
                    .thenComparing(w -> w.readyAt)
                    .thenComparing(w -> w.job.id());

    private BinPacker() {}

    /**
     * Chooses machines for waiting tasks; rooms and shares are reduced by what the chosen tasks
     * take.
     */
    public static List<Placement> place(
            List<PlacementRequest> requests,
            List<FreeCapacity> rooms,
            Map<String, QuotaUsage> shares) {
        Map<String, List<PlacementRequest>> queues = new HashMap<>();
        for (PlacementRequest request : requests) {
            if (shares.containsKey(request.job.team())) {
                queues.computeIfAbsent(request.job.team(), t -> new ArrayList<>()).add(request);
            }
        }
        queues.values().forEach(queue -> queue.sort(TEAM_QUEUE_ORDER));
        List<String> teams = queues.keySet().stream().sorted().toList();
        List<Placement> choices = new ArrayList<>();
        UnschedulableDemand unplaced = new UnschedulableDemand();
        while (true) {
            PlacementRequest next = null;
            for (String team : teams) {
                PlacementRequest head = firstEligible(queues.get(team), shares.get(team));
                if (head != null && (next == null || isServedBefore(head, next, shares))) {
                    next = head;
                }
            }
            if (next == null) {
                return choices;
            }
            QuotaUsage share = shares.get(next.job.team());
            if (!next.job.isGang()) {
                boolean covered = unplaced.covers(next);
                FreeCapacity room = covered ? null : findBestFit(next, rooms);
                if (room == null) {
                    if (!covered) {
                        unplaced.add(next);
                    }
                    // Nothing fits this one now; what comes behind may be smaller or allowed
                    // elsewhere.
                    next.unschedulable = true;
                    if (next.overdue) {
                        reserveCapacity(next, rooms);
                    }
                } else {
                    fillMachine(next, room, share, choices);
                }
                continue;
            }
            List<FreeCapacity> taken = new ArrayList<>();
            for (FreeCapacity room = null;
                    next.waitingTasks > 0 && (room = findBestFit(next, rooms)) != null; ) {
                allocate(next, room, share, 1);
                taken.add(room);
            }
            if (next.waitingTasks > 0) {
                // A gang that has waited too long keeps what room it found: smaller work would take
                // each piece of it for ever.
                for (FreeCapacity room : taken) {
                    allocate(next, room, share, -1);
                    if (next.overdue) {
                        room.release(next.job, -1);
                    }
                }
                next.unschedulable = true;
                unplaced.clear();
                continue;
            }
            for (FreeCapacity room : taken) {
                choices.add(new Placement(next.job.id(), room.machineName));
            }
        }
    }

    /**
     * The machine that comes nearest to having room takes nothing else: smaller tasks would take
     * each piece for ever.
     */
    private static void reserveCapacity(PlacementRequest request, List<FreeCapacity> rooms) {
        FreeCapacity nearest = null;
        for (FreeCapacity room : rooms) {
            // Any other would be kept empty for nothing and for ever.
            if (canEverFit(request, room)
                    && (nearest == null
                            || room.freeCpus > nearest.freeCpus
                            || room.freeCpus == nearest.freeCpus
                                    && room.machineName.compareTo(nearest.machineName) < 0)) {
                nearest = room;
            }
        }
        if (nearest != null) {
            nearest.freeCpus = 0;
        }
    }

    /**
     * A turn fills a machine, so that a large array does not cost a look at the whole fleet for
     * each task.
     */
    private static void fillMachine(
            PlacementRequest request,
            FreeCapacity room,
            QuotaUsage share,
            List<Placement> choices) {
        do {
            allocate(request, room, share, 1);
            choices.add(new Placement(request.job.id(), room.machineName));
        } while (request.waitingTasks > 0
                && !request.job.spreadOverZones()
                && fits(request, room)
                && share.fitsLimit(request.job.cpus(), request.job.gpus()));
    }

    private static PlacementRequest firstEligible(List<PlacementRequest> queue, QuotaUsage share) {
        for (PlacementRequest request : queue) {
            int turn = request.job.isGang() ? request.waitingTasks : 1;
            // A gang begins again only when all of its earlier attempts are gone.
            if (request.waitingTasks == 0
                    || request.unschedulable
                    || request.job.isGang() && request.liveTasks > 0) {
                continue;
            }
            if (share.fitsLimit(turn * request.job.cpus(), turn * request.job.gpus())) {
                return request;
            }
            if (request.overdue
                    && share.fitsLimitBesideReplicas(
                            turn * request.job.cpus(), turn * request.job.gpus())) {
                // The rest of the team stands back until its limit leaves enough for this one; not
                // where replicas keep it from
                // ever doing so, or all would wait for ever.
                return null;
            }
        }
        return null;
    }

    private static boolean isServedBefore(
            PlacementRequest first, PlacementRequest second, Map<String, QuotaUsage> shares) {
        if (first.overdue != second.overdue) {
            return first.overdue;
        }
        if (first.reserved != second.reserved) {
            return first.reserved;
        }
        if (first.withinGuarantee != second.withinGuarantee) {
            return first.withinGuarantee;
        }
        if (first.job.priority() != second.job.priority()) {
            return first.job.priority().compareTo(second.job.priority()) < 0;
        }
        int byUse =
                Double.compare(
                        shares.get(first.job.team()).guaranteeUtilization(),
                        shares.get(second.job.team()).guaranteeUtilization());
        return byUse != 0 ? byUse < 0 : first.readyAt < second.readyAt;
    }

    /** Books that many tasks on a machine; a negative number takes them back. */
    static void allocate(PlacementRequest request, FreeCapacity room, QuotaUsage share, int tasks) {
        request.waitingTasks -= tasks;
        request.tasksPerZone.merge(room.zone, tasks, Integer::sum);
        room.release(request.job, -tasks);
        share.release(request.job, -tasks);
    }

    private static FreeCapacity findBestFit(PlacementRequest request, List<FreeCapacity> rooms) {
        FreeCapacity best = null;
        for (FreeCapacity room : rooms) {
            if (fits(request, room) && (best == null || isBetterFit(request, room, best))) {
                best = room;
            }
        }
        return best;
    }

    static boolean fits(PlacementRequest request, FreeCapacity room) {
        return hasResources(request, room.freeCpus, room.freeGpus, room.freeMemGb)
                && meetsConstraints(request, room)
                && !request.excludedMachines.contains(room.machineName);
    }

    /**
     * Whether the machine may come to have room for a task: it is neither too small beside its
     * replicas nor one to avoid.
     */
    public static boolean canEverFit(PlacementRequest request, FreeCapacity room) {
        return hasResources(
                        request,
                        room.eventualCapacity.cpus(),
                        room.eventualCapacity.gpus(),
                        room.eventualCapacity.memGb())
                && meetsConstraints(request, room)
                && !request.excludedMachines.contains(room.machineName);
    }

    static boolean hasResources(PlacementRequest request, double cpus, double gpus, double memGb) {
        return hasCpus(request, cpus)
                && memGb + ROUNDING_TOLERANCE >= request.job.memGb()
                && gpus + ROUNDING_TOLERANCE >= request.job.gpus();
    }

    static boolean hasCpus(PlacementRequest request, double cpus) {
        return cpus + ROUNDING_TOLERANCE >= request.job.cpus();
    }

    /**
     * Type, zone and kind, with regard to where the job's other tasks may be alive at this moment.
     */
    static boolean meetsConstraints(PlacementRequest request, FreeCapacity room) {
        if (!request.job.allowsMachine(room.machineType, room.zone, room.spot)
                || request.imageLocalityRequired && !room.hasImage(request.job.image())) {
            return false;
        }
        int here = request.tasksPerZone.getOrDefault(room.zone, 0);
        if (request.job.sameZone()) {
            for (Map.Entry<String, Integer> zone : request.tasksPerZone.entrySet()) {
                if (zone.getValue() > 0 && !zone.getKey().equals(room.zone)) {
                    return false;
                }
            }
        }
        return here < request.job.maxTasksPerZone();
    }

    private static boolean isBetterFit(
            PlacementRequest request, FreeCapacity first, FreeCapacity second) {
        boolean firstHasImage = first.hasImage(request.job.image());
        boolean secondHasImage = second.hasImage(request.job.image());
        if (firstHasImage != secondHasImage) {
            return firstHasImage;
        }
        if (first.spot != second.spot) {
            // Spot machines cost less and take nothing else away; where the job allows both they
            // come first.
            return first.spot;
        }
        int firstHere =
                request.job.spreadOverZones()
                        ? request.tasksPerZone.getOrDefault(first.zone, 0)
                        : 0;
        int secondHere =
                request.job.spreadOverZones()
                        ? request.tasksPerZone.getOrDefault(second.zone, 0)
                        : 0;
        if (firstHere != secondHere) {
            return firstHere < secondHere;
        }
        // The fullest first, so that the emptiest can be given back.
        return first.freeCpus != second.freeCpus
                ? first.freeCpus < second.freeCpus
                : first.machineName.compareTo(second.machineName) < 0;
    }
}
