package io.pepperfield.config;

import java.util.List;
import java.util.Map;

/** Everything the platform tells a controller; figures elsewhere in the code are ratios to these. */
public record Settings(String node, String zone, Address bind, Address peerListen, List<Member> members,
                       Address cloud, Address state, Deployment deployment, Operators operators) {

    public record Address(String host, int port) {
        @Override public String toString() {
            return host + ":" + port;
        }
    }

    public record Member(String node, String zone, Address address) { }

    public record Deployment(int size, List<String> zones, double clockErrorMs, Map<String, Team> teams,
                             List<Objective> objectives, Workers workers, State state, Cloud cloud, Quota quota) { }

    /** A limit of 0 means the team may use none of that resource. */
    public record Team(String name, double cpus, double cpusMax, double gpus, double gpusMax) { }

    /** What is expected of a class of jobs; figures that an objective does not carry are 0. */
    public record Objective(String kind, String workload, double withinS, double share, double times) { }

    public record Workers(double reportS, double leaseS, double cancelS) { }

    public record State(double rps, double writeRps, double valueKb, int txnOps) { }

    public record Cloud(double rps, double listLagS) { }

    public record Quota(double coreShare, double memMb, int sockets) { }

    /** The next time after its submission by which a job of the class should be complete, or infinity. */
    public double finishAim(String workload, double afterS) {
        return deployment.objectives().stream()
                .filter(o -> o.kind().equals("finished") && o.workload().equals(workload) && o.withinS() > afterS)
                .mapToDouble(Objective::withinS).min().orElse(Double.POSITIVE_INFINITY);
    }

    /** The shortest wait that any objective asks for a class, or infinity where none is stated. */
    public double waitAim(String workload) {
        return deployment.objectives().stream()
                .filter(o -> o.kind().equals("wait") && o.workload().equals(workload))
                .mapToDouble(Objective::withinS).min().orElse(Double.POSITIVE_INFINITY);
    }
}
