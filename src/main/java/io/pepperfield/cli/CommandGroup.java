package io.pepperfield.cli;

import picocli.CommandLine;

/** A command that only holds others: to give none of them is a mistake on the command line. */
abstract class CommandGroup implements Runnable {

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Want a command");
    }
}
