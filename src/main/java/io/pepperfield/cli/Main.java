package io.pepperfield.cli;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The program: a controller, and the commands of its users. */
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

    /** Sets up logging and runs the command that the arguments name; exits with its code. */
    public static void main(String[] arguments) {
        // Before any logger exists: the light backend reads these once.
        String level = System.getenv().getOrDefault("LOG_LEVEL", "info");
        System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
        System.setProperty("org.slf4j.simpleLogger.log.io.netty", "error");
        System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
        System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
        // A process of a few hundred MB: no buffer arenas, and no look at the network's hardware
        // for a process id.
        System.setProperty("io.netty.allocator.type", "unpooled");
        System.setProperty("io.netty.noPreferDirect", "true");
        System.setProperty("io.netty.leakDetection.level", "disabled");
        System.setProperty("io.netty.machineId", "00:00:00:00:00:00:00:01");
        System.setProperty("io.netty.processId", "1");
        System.exit(new CommandLine(new Main()).execute(arguments));
    }
}
