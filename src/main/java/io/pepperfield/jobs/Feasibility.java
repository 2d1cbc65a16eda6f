package io.pepperfield.jobs;

/** Decides whether a job can ever run on the available machine types. */
public interface Feasibility {

    /** The result of a feasibility check. */
    sealed interface Verdict {
        /** The job can run on the available machine types. */
        record Feasible() implements Verdict {}

        /**
         * The job can never run.
         *
         * @param reason the error message for the user
         */
        record Infeasible(String reason) implements Verdict {}

        /** The check is not possible because the machine types have not been loaded yet. */
        record Undecided() implements Verdict {}
    }

    /** Checks a job against the machine types currently known. */
    Verdict check(JobSpec job);
}
