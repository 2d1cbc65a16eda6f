package io.pepperfield.cli;

/** Exit codes of commands; the parser returns 2 for usage errors. */
final class ExitCode {

    static final int SUCCESS = 0;
    static final int FAILURE = 1;

    private ExitCode() {}

    /** Prints the reason for a failure and returns the exit code for it. */
    static int failure(String reason) {
        System.err.println("pepperfield: " + reason);
        return FAILURE;
    }
}
