package io.pepperfield.admission;

import io.pepperfield.admission.DemandReport.ClassDemand;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.standin.SimulatedLoop;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Measures the time taken by one admission decision and by one allotment, for {@code
 * docs/design/admission.md}. Not part of the tests: run its {@code main} with the test class path.
 */
final class AdmissionMeasurement {

    private static final AdmissionLimits LIMITS =
            new AdmissionLimits(600, 6000, 5, 1, Map.of(), 60, 0.25);
    private static final int CONTROLLERS = 7;
    private static final int TEAMS = 100;
    private static final int CLASSES_PER_TEAM = 10;
    private static final int DECISIONS = 2_000_000;
    private static final int ALLOTMENTS = 2_000;

    private AdmissionMeasurement() {}

    public static void main(String[] arguments) {
        for (int round = 0; round < 3; round++) {
            System.out.println(Math.round(measureDecisionNanos()) + " ns per decision");
            System.out.println(Math.round(measureAllotmentMicros()) + " us per allotment");
        }
    }

    /**
     * Measures decisions about new job ids, as in a flood, of a class that has used up its share.
     */
    private static double measureDecisionNanos() {
        SimulatedLoop loop = new SimulatedLoop();
        SubmissionAdmission admission =
                new SubmissionAdmission(loop, LIMITS, "a", loop::now, 1_000_000);
        JobSpec[] jobs = new JobSpec[DECISIONS / 100];
        for (int i = 0; i < jobs.length; i++) {
            jobs[i] = new JobSpecBuilder().id("run-" + i).team("guests").workload("flood").build();
        }
        long from = System.nanoTime();
        for (int i = 0; i < DECISIONS; i++) {
            if (i % 20_000 == 0) {
                loop.run(loop.now() + 1);
                admission.tick();
            }
            admission.decide(jobs[i % jobs.length]);
        }
        return (System.nanoTime() - from) / (double) DECISIONS;
    }

    private static double measureAllotmentMicros() {
        AllotmentIssuer issuer = new AllotmentIssuer(LIMITS, "0", new FencingToken(1), -10);
        SortedMap<WorkloadClass, ClassDemand> demand = new TreeMap<>();
        for (int i = 0; i < TEAMS * CLASSES_PER_TEAM; i++) {
            demand.put(
                    new WorkloadClass(
                            "team-" + i / CLASSES_PER_TEAM, "class-" + i % CLASSES_PER_TEAM, false),
                    new ClassDemand(i % 37, 0, 0));
        }
        long from = System.nanoTime();
        for (int i = 0; i < ALLOTMENTS; i++) {
            String node = Integer.toString(i % CONTROLLERS);
            issuer.issue(new DemandReport(node, "p", i + 1, FencingToken.NONE, 0, demand), i * 0.1);
        }
        return (System.nanoTime() - from) / 1000.0 / ALLOTMENTS;
    }
}
