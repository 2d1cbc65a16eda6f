package io.pepperfield.placement;

import io.pepperfield.jobs.JobSpec;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What has found no machine in a pass. Rooms only shrink while tasks are placed, so nothing that
 * needs as much or more of the same kind of machine can find one either; a swarm of waiting jobs
 * then costs a look at the whole fleet for each kind and not for each job.
 */
final class UnplacedNeeds {

    /** Which machines come into question, where the job's other tasks have no say in it. */
    private record Kind(List<String> types, String zone, boolean spot, String image) {
        static Kind of(PlacementRequest request) {
            JobSpec job = request.job;
            return new Kind(
                    job.types(), job.zone(), job.spot(), request.warmOnly ? job.image() : "");
        }
    }

    /** What a task takes of its machine. */
    private record Size(double cpus, double gpus, double memGb) {
        static Size of(JobSpec job) {
            return new Size(job.cpus(), job.gpus(), job.memGb());
        }

        boolean within(Size other) {
            return cpus <= other.cpus && gpus <= other.gpus && memGb <= other.memGb;
        }
    }

    /** Of each kind the smallest sizes, none of which is within another. */
    private final Map<Kind, List<Size>> smallest = new HashMap<>();

    /** Whether the request cannot find a machine, by what has found none before. */
    boolean cover(PlacementRequest request) {
        Size size = Size.of(request.job);
        for (Size unplaced : smallest.getOrDefault(Kind.of(request), List.of())) {
            if (unplaced.within(size)) {
                return true;
            }
        }
        return false;
    }

    /** The request has found no machine among all that its kind allows. */
    void add(PlacementRequest request) {
        JobSpec job = request.job;
        if (job.oneZone() || job.spread() || !request.avoid.isEmpty()) {
            // Zones or machines to avoid make it a case of its own.
            return;
        }
        Size size = Size.of(job);
        List<Size> sizes = smallest.computeIfAbsent(Kind.of(request), kind -> new ArrayList<>());
        sizes.removeIf(size::within);
        sizes.add(size);
    }

    /** Room has been given back. */
    void clear() {
        smallest.clear();
    }
}
