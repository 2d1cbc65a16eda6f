package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.List;

/**
 * A day in a region: jobs of all kinds at even intervals, and troubles at their times. Played by
 * {@link Region#play}, and fully told by it and a seed.
 */
public record Scenario(int jobs, double everyS, List<Planned> troubles) {

    /** A trouble and when it begins. */
    public record Planned(double at, Trouble trouble) {}

    /** The first job comes then: a leader leads and knows the machine types. */
    public static final double FIRST_JOB_S = 8;

    /** Longer than any of the times within which users expect something once all is well again. */
    private static final double CALM_S = 130;

    public Scenario {
        troubles = List.copyOf(troubles);
    }

    public static Scenario jobs(int jobs, double everyS) {
        return new Scenario(jobs, everyS, List.of());
    }

    /** The same with these troubles too, all beginning at that time. */
    public Scenario at(double time, Trouble... more) {
        List<Planned> all = new ArrayList<>(troubles);
        for (Trouble trouble : more) {
            all.add(new Planned(time, trouble));
        }
        return new Scenario(jobs, everyS, all);
    }

    /** When all troubles are over and the last job has come. */
    public double calmAt() {
        double calm = FIRST_JOB_S + jobs * everyS;
        for (Planned planned : troubles) {
            calm =
                    Math.max(
                            calm,
                            planned.at + planned.trouble.forS() + planned.trouble.aftermathS());
        }
        return calm;
    }

    public double endsAt() {
        return calmAt() + CALM_S;
    }
}
