package io.pepperfield.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Entry point of the command line, with the controller and the client commands. */
@Command(
        name = "pepperfield",
        mixinStandardHelpOptions = true,
        version = "pepperfield 0.2.0",
        description = "A cluster scheduler that rents machines by predicted load.",
        subcommands = {
            ServeCommand.class,
            CheckCommand.class,
            SubmitCommand.class,
            JobStatusCommand.class,
            CancelCommand.class,
            NodesCommand.class,
            RolloutCommand.class,
            StateCommand.class,
            ClassDataTraining.class
        })
public final class Main extends CommandGroup {

    /** Configures logging, runs the command given by the arguments and exits with its exit code. */
    public static void main(String[] arguments) {
        // Must be set before the first logger is created: slf4j-simple reads these only once.
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        // The process has only a few hundred MB, so Netty uses no buffer arenas. The fixed IDs
        // avoid a scan of the network hardware for a process ID.
        System.setProperty("io.netty.allocator.type", "unpooled");
        System.setProperty("io.netty.noPreferDirect", "true");
        System.setProperty("io.netty.leakDetection.level", "disabled");
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.processId", "1");
        System.exit(new CommandLine(new Main()).execute(arguments));
    }
}
