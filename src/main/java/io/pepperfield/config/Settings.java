package io.pepperfield.config;

import java.util.List;
import java.util.Map;

/**
 * Everything the platform tells a controller; figures elsewhere in the code are ratios to these.
 */
public record Settings(
        String node,
        String zone,
        Address bindAddress,
        Address peerAddress,
        List<Member> members,
        Address cloudAddress,
        Address storeAddress,
        Deployment deployment,
        OperatorSettings operators) {

    /** A host and its TCP port. */
    public record Address(String host, int port) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    /** A controller of the cluster: its name, its zone and the address that its peers use. */
    public record Member(String node, String zone, Address address) {}

    /** The cluster's common settings, the same on every controller. */
    public record Deployment(
            int controllerCount,
            List<String> zones,
            double clockErrorMs,
            Map<String, Team> teams,
            List<Objective> objectives,
            WorkerTimings workerTimings,
            StoreLimits storeLimits,
            CloudLimits cloudLimits,
            ProcessQuota processQuota) {}

    /** A guarantee of 0 is none; a limit that the platform does not set is infinite. */
    public record Team(
            String name,
            double guaranteedCpus,
            double cpuLimit,
            double guaranteedGpus,
            double gpuLimit) {}

    /** What is expected of a class of jobs; figures that an objective does not carry are 0. */
    public record Objective(
            String kind, String workload, double withinS, double share, double times) {}

    /**
     * Intervals of the workers' protocol in seconds: between heartbeats, until a worker without an
     * answer gives up its tasks, and until a cancelled job's tasks must have ended.
     */
    public record WorkerTimings(
            double heartbeatIntervalS, double leaseS, double cancellationDeadlineS) {}

    /** What the state service allows; where it will allow less from some moment on, that. */
    public record StoreLimits(
            double requestsPerS, double writesPerS, double maxValueKib, int maxTransactionOps) {}

    /** The cloud's limits: requests per second, and the delay of its list in seconds. */
    public record CloudLimits(double requestsPerS, double listDelayS) {}

    /** What one controller may use: its share of a core, megabytes of memory, open sockets. */
    public record ProcessQuota(double coreShare, double memoryMb, int maxSockets) {}
}
