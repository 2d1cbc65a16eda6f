package io.pepperfield.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Assigns pending tasks to machines. Each team has a queue. Among the heads of the queues, overdue
 * requests and those with reserved capacity are served first, then requests within their team's
 * guarantee, then by priority, then the team with the lowest guarantee utilization. Deterministic:
 * the same input gives the same placements. Confined to the event loop.
 */
public final class BinPacker {

    /** The assignment of one task of a job to a machine. */
    public record Placement(String jobId, String machineName) {}

    private static final Comparator<PlacementRequest> TEAM_QUEUE_ORDER =
            Comparator.comparing((PlacementRequest request) -> !request.overdue)
                    .thenComparing(request -> !request.hasReservation)
                    .thenComparing(request -> !request.withinGuarantee)
                    .thenComparing(request -> request.job.priority())
                    .thenComparing(request -> !request.job.isService())
                    .thenComparing(request -> -request.waitPerCpu)
                    .thenComparing(request -> request.readyAt)
                    .thenComparing(request -> request.job.id());

    /** The requests of one team, in the order in which they are served. */
    private record TeamQueue(QuotaUsage quotaUsage, List<PlacementRequest> requests) {

        /** Returns the team's request to serve next, or null if none is eligible. */
        PlacementRequest firstEligible() {
            for (PlacementRequest request : requests) {
                if (!canBeServed(request)) {
                    continue;
                }
                int tasks = request.job.isGang() ? request.pendingTasks : 1;
                double cpus = tasks * request.job.cpus();
                double gpus = tasks * request.job.gpus();
                if (quotaUsage.fitsLimit(cpus, gpus)) {
                    return request;
                }
                if (request.overdue && quotaUsage.fitsLimitWithOnlyReplicas(cpus, gpus)) {
                    // Blocks the rest of the team until its limit has room for the overdue request.
                    // Does not block if replicas keep that room for good: the team would starve.
                    return null;
                }
            }
            return null;
        }

        private static boolean canBeServed(PlacementRequest request) {
            if (request.pendingTasks == 0 || request.unschedulable) {
                return false;
            }
            // A gang restarts only after all of its previous attempts have terminated.
            return !request.job.isGang() || request.liveTasks == 0;
        }
    }

    private final List<FreeCapacity> capacities;
    private final Map<String, QuotaUsage> quotaUsages;

    /** Ordered by team name. */
    private final List<TeamQueue> queues;

    private final List<Placement> placements = new ArrayList<>();
    private final UnschedulableDemand unschedulableDemand = new UnschedulableDemand();

    private BinPacker(
            List<PlacementRequest> requests,
            List<FreeCapacity> capacities,
            Map<String, QuotaUsage> quotaUsages) {
        this.capacities = capacities;
        this.quotaUsages = quotaUsages;
        this.queues = teamQueues(requests);
    }

    /**
     * Places pending tasks on machines. Allocates the resources of placed tasks from the capacities
     * and quotas, and updates the task counts of the requests.
     */
    public static List<Placement> place(
            List<PlacementRequest> requests,
            List<FreeCapacity> capacities,
            Map<String, QuotaUsage> quotaUsages) {
        return new BinPacker(requests, capacities, quotaUsages).place();
    }

    /** Groups the requests by team; omits requests of teams that are not in the settings. */
    private List<TeamQueue> teamQueues(List<PlacementRequest> requests) {
        Map<String, List<PlacementRequest>> requestsByTeam = new TreeMap<>();
        for (PlacementRequest request : requests) {
            String team = request.job.team();
            if (quotaUsages.containsKey(team)) {
                requestsByTeam.computeIfAbsent(team, name -> new ArrayList<>()).add(request);
            }
        }
        List<TeamQueue> teamQueues = new ArrayList<>();
        requestsByTeam.forEach(
                (team, teamRequests) -> {
                    teamRequests.sort(TEAM_QUEUE_ORDER);
                    teamQueues.add(new TeamQueue(quotaUsages.get(team), teamRequests));
                });
        return teamQueues;
    }

    private List<Placement> place() {
        PlacementRequest next = nextRequest();
        while (next != null) {
            if (next.job.isGang()) {
                placeGang(next);
            } else {
                placeTasks(next);
            }
            next = nextRequest();
        }
        return placements;
    }

    /** Returns the request to serve next, or null if none is eligible. */
    private PlacementRequest nextRequest() {
        PlacementRequest next = null;
        for (TeamQueue queue : queues) {
            PlacementRequest head = queue.firstEligible();
            if (head != null && (next == null || isServedBefore(head, next))) {
                next = head;
            }
        }
        return next;
    }

    private boolean isServedBefore(PlacementRequest first, PlacementRequest second) {
        if (first.overdue != second.overdue) {
            return first.overdue;
        }
        if (first.hasReservation != second.hasReservation) {
            return first.hasReservation;
        }
        if (first.withinGuarantee != second.withinGuarantee) {
            return first.withinGuarantee;
        }
        if (first.job.priority() != second.job.priority()) {
            return first.job.priority().compareTo(second.job.priority()) < 0;
        }
        int byUtilization =
                Double.compare(
                        quotaUsage(first).guaranteeUtilization(),
                        quotaUsage(second).guaranteeUtilization());
        return byUtilization != 0 ? byUtilization < 0 : first.readyAt < second.readyAt;
    }

    private QuotaUsage quotaUsage(PlacementRequest request) {
        return quotaUsages.get(request.job.team());
    }

    /** Fills one machine with tasks of the request, or marks the request unschedulable. */
    private void placeTasks(PlacementRequest request) {
        boolean knownUnschedulable = unschedulableDemand.covers(request);
        FreeCapacity capacity = knownUnschedulable ? null : findBestFit(request);
        if (capacity != null) {
            fillMachine(request, capacity);
            return;
        }
        if (!knownUnschedulable) {
            unschedulableDemand.add(request);
        }
        // Later requests of the queue may be smaller or have other constraints.
        request.unschedulable = true;
        if (request.overdue) {
            reserveCapacity(request);
        }
    }

    /**
     * Places tasks until the machine is full, so that a large array does not scan the whole fleet
     * for each task.
     */
    private void fillMachine(PlacementRequest request, FreeCapacity capacity) {
        QuotaUsage quotaUsage = quotaUsage(request);
        do {
            allocate(request, capacity, quotaUsage, 1);
            placements.add(new Placement(request.job.id(), capacity.machineName));
        } while (request.pendingTasks > 0
                && !request.job.spreadOverZones()
                && MachineFit.fits(request, capacity)
                && quotaUsage.fitsLimit(request.job.cpus(), request.job.gpus()));
    }

    /**
     * Withholds the machine with the most free CPUs from other requests in this pass. Otherwise
     * smaller tasks would take freed capacity as soon as it appears and starve the request.
     */
    private void reserveCapacity(PlacementRequest request) {
        FreeCapacity emptiest = null;
        for (FreeCapacity capacity : capacities) {
            // A machine that can never fit the request would stay idle indefinitely.
            if (MachineFit.canEverFit(request, capacity)
                    && (emptiest == null || isEmptier(capacity, emptiest))) {
                emptiest = capacity;
            }
        }
        if (emptiest != null) {
            emptiest.freeCpus = 0;
        }
    }

    private static boolean isEmptier(FreeCapacity first, FreeCapacity second) {
        return first.freeCpus != second.freeCpus
                ? first.freeCpus > second.freeCpus
                : first.machineName.compareTo(second.machineName) < 0;
    }

    /** Places all pending tasks of the request or none. */
    private void placeGang(PlacementRequest request) {
        QuotaUsage quotaUsage = quotaUsage(request);
        List<FreeCapacity> allocated = new ArrayList<>();
        FreeCapacity capacity = findBestFit(request);
        while (capacity != null) {
            allocate(request, capacity, quotaUsage, 1);
            allocated.add(capacity);
            capacity = request.pendingTasks > 0 ? findBestFit(request) : null;
        }
        if (request.pendingTasks > 0) {
            rollBackGang(request, allocated);
            return;
        }
        for (FreeCapacity machine : allocated) {
            placements.add(new Placement(request.job.id(), machine.machineName));
        }
    }

    private void rollBackGang(PlacementRequest request, List<FreeCapacity> allocated) {
        for (FreeCapacity capacity : allocated) {
            allocate(request, capacity, quotaUsage(request), -1);
            if (request.overdue) {
                // An overdue gang keeps the capacity found so far. Otherwise smaller tasks would
                // take it and starve the gang.
                capacity.release(request.job, -1);
            }
        }
        request.unschedulable = true;
        unschedulableDemand.clear();
    }

    /** Allocates the resources of {@code tasks} tasks; a negative count returns them. */
    static void allocate(
            PlacementRequest request, FreeCapacity capacity, QuotaUsage quotaUsage, int tasks) {
        request.pendingTasks -= tasks;
        request.tasksPerZone.add(capacity.attributes.zone(), tasks);
        capacity.release(request.job, -tasks);
        quotaUsage.release(request.job, -tasks);
    }

    private FreeCapacity findBestFit(PlacementRequest request) {
        FreeCapacity best = null;
        for (FreeCapacity capacity : capacities) {
            if (MachineFit.fits(request, capacity)
                    && (best == null || MachineFit.isBetter(request, capacity, best))) {
                best = capacity;
            }
        }
        return best;
    }
}
