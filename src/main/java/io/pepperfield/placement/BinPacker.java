package io.pepperfield.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Decides which waiting task goes to which machine. Each team has a queue, served in turn: work
 * within a guarantee first, then by priority, then the team that uses least of its guarantee. The
 * same input gives the same placements. Confined to the event loop.
 */
public final class BinPacker {

    /** A machine for one task of a job. */
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

    /** One team's requests in the order in which they are served. */
    private record TeamQueue(QuotaUsage quotaUsage, List<PlacementRequest> requests) {

        /** The request of this team whose turn it is, or null where none can be served now. */
        PlacementRequest firstEligible() {
            for (PlacementRequest request : requests) {
                if (!canBeServed(request)) {
                    continue;
                }
                int tasks = request.job.isGang() ? request.waitingTasks : 1;
                double cpus = tasks * request.job.cpus();
                double gpus = tasks * request.job.gpus();
                if (quotaUsage.fitsLimit(cpus, gpus)) {
                    return request;
                }
                if (request.overdue && quotaUsage.fitsLimitWithOnlyReplicas(cpus, gpus)) {
                    // The rest of the team stands back until its limit leaves enough for this one;
                    // not where replicas keep it from ever doing so, or all would wait for ever.
                    return null;
                }
            }
            return null;
        }

        private static boolean canBeServed(PlacementRequest request) {
            if (request.waitingTasks == 0 || request.unschedulable) {
                return false;
            }
            // A gang begins again only when all of its earlier attempts are gone.
            return !request.job.isGang() || request.liveTasks == 0;
        }
    }

    private final List<FreeCapacity> capacities;
    private final Map<String, QuotaUsage> quotaUsages;

    /** In the order of the teams' names. */
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
     * Finds machines for waiting tasks. What the placed tasks take is taken off the capacities and
     * quotas, and counted in the requests.
     */
    public static List<Placement> place(
            List<PlacementRequest> requests,
            List<FreeCapacity> capacities,
            Map<String, QuotaUsage> quotaUsages) {
        return new BinPacker(requests, capacities, quotaUsages).place();
    }

    /** Requests of teams that the settings do not name are left out. */
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

    /** The request whose turn it is, or null where none can be served any more. */
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

    /** Fills one machine with tasks of the request, or finds that no machine fits it now. */
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
        // What comes behind it may be smaller or allowed elsewhere.
        request.unschedulable = true;
        if (request.overdue) {
            reserveCapacity(request);
        }
    }

    /**
     * A turn fills a machine, so that a large array does not cost a look at the whole fleet for
     * each task.
     */
    private void fillMachine(PlacementRequest request, FreeCapacity capacity) {
        QuotaUsage quotaUsage = quotaUsage(request);
        do {
            allocate(request, capacity, quotaUsage, 1);
            placements.add(new Placement(request.job.id(), capacity.machineName));
        } while (request.waitingTasks > 0
                && !request.job.spreadOverZones()
                && MachineFit.fits(request, capacity)
                && quotaUsage.fitsLimit(request.job.cpus(), request.job.gpus()));
    }

    /**
     * The machine that comes nearest to fitting takes nothing else: smaller tasks would take each
     * piece of it for ever.
     */
    private void reserveCapacity(PlacementRequest request) {
        FreeCapacity nearest = null;
        for (FreeCapacity capacity : capacities) {
            // Any other would be kept empty for nothing and for ever.
            if (MachineFit.canEverFit(request, capacity)
                    && (nearest == null || isEmptier(capacity, nearest))) {
                nearest = capacity;
            }
        }
        if (nearest != null) {
            nearest.freeCpus = 0;
        }
    }

    private static boolean isEmptier(FreeCapacity first, FreeCapacity second) {
        return first.freeCpus != second.freeCpus
                ? first.freeCpus > second.freeCpus
                : first.machineName.compareTo(second.machineName) < 0;
    }

    /** Places all waiting tasks of the request or none. */
    private void placeGang(PlacementRequest request) {
        QuotaUsage quotaUsage = quotaUsage(request);
        List<FreeCapacity> allocated = new ArrayList<>();
        FreeCapacity capacity = findBestFit(request);
        while (capacity != null) {
            allocate(request, capacity, quotaUsage, 1);
            allocated.add(capacity);
            capacity = request.waitingTasks > 0 ? findBestFit(request) : null;
        }
        if (request.waitingTasks > 0) {
            undoGang(request, allocated);
            return;
        }
        for (FreeCapacity machine : allocated) {
            placements.add(new Placement(request.job.id(), machine.machineName));
        }
    }

    private void undoGang(PlacementRequest request, List<FreeCapacity> allocated) {
        for (FreeCapacity capacity : allocated) {
            allocate(request, capacity, quotaUsage(request), -1);
            if (request.overdue) {
                // A gang that has waited too long keeps the capacity that it found: smaller work
                // would take each piece of it for ever.
                capacity.release(request.job, -1);
            }
        }
        request.unschedulable = true;
        unschedulableDemand.clear();
    }

    /** Takes what that many tasks need; a negative number gives it back. */
    static void allocate(
            PlacementRequest request, FreeCapacity capacity, QuotaUsage quotaUsage, int tasks) {
        request.waitingTasks -= tasks;
        request.tasksPerZone.merge(capacity.zone, tasks, Integer::sum);
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
