package io.pepperfield.cli;

/** Exit codes of commands; 2, for a wrong command line, is given by the parser. */
final class ExitCode {

    static final int SUCCESS = 0;
    static final int FAILURE = 1;

    private ExitCode() {}

    /** Prints why a command could not do what it was asked to. */
    static int failure(String reason) {
        System.err.println("pepperfield: " + reason);
        return FAILURE;
    }
}
