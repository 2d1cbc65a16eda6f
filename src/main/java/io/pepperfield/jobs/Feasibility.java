package io.pepperfield.jobs;

/** Decides whether a job can ever run on the machine types that there are. */
public interface Feasibility {

    /** Whether a job can ever run. */
    sealed interface Verdict {
        /** Some machine type, or enough of them, can hold the job. */
        record Feasible() implements Verdict {}

        /**
         * No machine type can.
         *
         * @param reason for the user
         */
        record Infeasible(String reason) implements Verdict {}

        /** The machine types are not known yet. */
        record Undecided() implements Verdict {}
    }

    /** Decides about a job, by the machine types as known now. */
    Verdict check(JobSpec job);
}
