package io.pepperfield.config;

import java.util.List;
import java.util.Map;

/**
 * Settings of a controller provided by the platform. Other limits in the code are derived from
 * these as ratios.
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

    /** Another controller of the cluster: name, zone and the address for peer requests. */
    public record Member(String node, String zone, Address address) {}

    /** Settings of the deployment, identical on all controllers. */
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

    /** A team. A guarantee of 0 means none; a limit that is not set is infinite. */
    public record Team(
            String name,
            double guaranteedCpus,
            double cpuLimit,
            double guaranteedGpus,
            double gpuLimit) {}

    /** A service objective of a workload class; numbers that are not set are 0. */
    public record Objective(
            String kind, String workload, double withinS, double share, double times) {}

    /**
     * Timings of the worker protocol in seconds: the interval between heartbeats, the time without
     * a reply after which a worker stops its tasks, and the deadline for the tasks of a cancelled
     * job to end.
     */
    public record WorkerTimings(
            double heartbeatIntervalS, double leaseS, double cancellationDeadlineS) {}

    /** Limits of the state service; the lower of the current and the announced future limits. */
    public record StoreLimits(
            double requestsPerS, double writesPerS, double maxValueKib, int maxTransactionOps) {}

    /** Limits of the cloud provider: its request rate and the delay of its instance list. */
    public record CloudLimits(double requestsPerS, double listDelayS) {}

    /** Resources available to a controller: fraction of a core, megabytes of memory, sockets. */
    public record ProcessQuota(double coreShare, double memoryMb, int maxSockets) {}
}
