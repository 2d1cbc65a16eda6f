package io.pepperfield.cli;

import picocli.CommandLine;

/** A command that consists of subcommands; running it without one is a usage error. */
abstract class CommandGroup implements Runnable {

    @CommandLine.Spec private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "Missing required subcommand");
    }
}
