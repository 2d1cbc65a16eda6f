package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * A day in a region: jobs of all kinds at even intervals, and faults at their times. Played by
 * {@link SimulatedRegion#play}, and fully told by it and a seed.
 */
public record Scenario(int jobs, double intervalS, List<PlannedFault> faults) {

    /** A fault and when it begins. */
    public record PlannedFault(double at, Fault fault) {}

    /** The first job comes then: a leader leads and knows the machine types. */
    public static final double FIRST_JOB_S = 8;

    /** Longer than any of the times within which users expect something once all is well again. */
    private static final double CALM_S = 130;

    public Scenario {
        faults = List.copyOf(faults);
    }

    public static Scenario jobs(int jobs, double everyS) {
        return new Scenario(jobs, everyS, List.of());
    }

    /** The same with these faults too, all beginning at that time. */
    public Scenario at(double time, Fault... more) {
        List<PlannedFault> all = new ArrayList<>(faults);
        for (Fault fault : more) {
            all.add(new PlannedFault(time, fault));
        }
        return new Scenario(jobs, intervalS, all);
    }

    /** When all faults are over and the last job has come. */
    public double faultsOverAt() {
        double calm = FIRST_JOB_S + jobs * intervalS;
        for (PlannedFault planned : faults) {
            calm =
                    Math.max(
                            calm,
                            planned.at
                                    + planned.fault.durationS()
                                    + planned.fault.maxAfterEffectS());
        }
        return calm;
    }

    public double endsAt() {
        return faultsOverAt() + CALM_S;
    }
}
