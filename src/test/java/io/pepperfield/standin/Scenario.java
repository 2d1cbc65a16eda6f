package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * A scenario of a simulated region: jobs of all kinds at even intervals, and faults at given times.
 * It is run by {@link SimulatedRegion#schedule}; the scenario and the seed fully determine the run.
 */
public record Scenario(int jobs, double intervalS, List<PlannedFault> faults) {

    /** A fault and the time, in seconds, at which it begins. */
    public record PlannedFault(double at, Fault fault) {}

    /** Time of the first job; a leader is elected and has loaded the machine types by then. */
    public static final double FIRST_JOB_S = 8;

    /** Longer than any time limit of the users' expectations once all faults are over. */
    private static final double FAULT_FREE_S = 130;

    public Scenario {
        faults = List.copyOf(faults);
    }

    public static Scenario jobs(int jobs, double everyS) {
        return new Scenario(jobs, everyS, List.of());
    }

    /** Returns a copy of this scenario with more faults, which all begin at {@code time}. */
    public Scenario at(double time, Fault... more) {
        List<PlannedFault> all = new ArrayList<>(faults);
        for (Fault fault : more) {
            all.add(new PlannedFault(time, fault));
        }
        return new Scenario(jobs, intervalS, all);
    }

    /** When all faults are over and the last job has been submitted. */
    public double faultsOverAt() {
        double last = FIRST_JOB_S + jobs * intervalS;
        for (PlannedFault planned : faults) {
            last =
                    Math.max(
                            last,
                            planned.at
                                    + planned.fault.durationS()
                                    + planned.fault.maxAfterEffectS());
        }
        return last;
    }

    public double endsAt() {
        return faultsOverAt() + FAULT_FREE_S;
    }
}
