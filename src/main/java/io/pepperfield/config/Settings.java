package io.pepperfield.config;

import java.util.List;
import java.util.Map;

/**
 * Everything the platform tells a controller; figures elsewhere in the code are ratios to these.
 */
public record Settings(
        String node,
        String zone,
        Address bind,
        Address peerListen,
        List<Member> members,
        Address cloud,
        Address state,
        Deployment deployment,
        Operators operators) {

    public record Address(String host, int port) {
        @Override
        public String toString() {
            return host + ":" + port;
        }
    }

    public record Member(String node, String zone, Address address) {}

    public record Deployment(
            int size,
            List<String> zones,
            double clockErrorMs,
            Map<String, Team> teams,
            List<Objective> objectives,
            Workers workers,
            State state,
            Cloud cloud,
            Quota quota) {}

    /** A guarantee of 0 is none; a limit that the platform does not set is infinite. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) {}

    /** What is expected of a class of jobs; figures that an objective does not carry are 0. */
    public record Objective(
            String kind, String workload, double withinS, double share, double times) {}

    public record Workers(double reportS, double leaseS, double cancelS) {}

    /** What the state service allows; where it will allow less from some moment on, that. */
    public record State(double rps, double writeRps, double valueKb, int txnOps) {}

    public record Cloud(double rps, double listLagS) {}

    public record Quota(double coreShare, double memMb, int sockets) {}
}
