package io.pepperfield.forms;

import io.pepperfield.cli.Main;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import picocli.CommandLine;
import picocli.CommandLine.Model.ArgSpec;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

/** The commands with their options, parameters and exit codes; their output is not covered. */
final class CommandLineForms {

    /**
     * Command lines that terminate without a running controller. FILE stands for a file that does
     * not exist, GOOD for valid platform settings, OPERATORS for valid operator settings.
     */
    private static final List<String> COMMAND_LINES =
            List.of(
                    "",
                    "--help",
                    "--version",
                    "frob",
                    "serve",
                    "serve --config FILE",
                    "check",
                    "check --config FILE",
                    "check --config GOOD",
                    "check --config GOOD --operators FILE",
                    "check --config GOOD --operators OPERATORS",
                    "submit",
                    "submit FILE",
                    "submit FILE --server",
                    "status",
                    "status 7",
                    "status run-000001 --server nonsense",
                    "status run-000001 --server 127.0.0.1:70000",
                    "cancel",
                    "cancel ../up",
                    "nodes --server 127.0.0.1:1",
                    "nodes extra",
                    "rollout",
                    "rollout --help",
                    "rollout status --server 127.0.0.1:1",
                    "rollout activate --to two",
                    "rollout activate --to 2 --without a,b --older-releases-retired"
                            + " --server 127.0.0.1:1",
                    "rollout finalize --server 127.0.0.1:1",
                    "rollout rollback --server 127.0.0.1:1",
                    "rollout rollback --to 1",
                    "state",
                    "state export",
                    "state export FILE",
                    "state export FILE --config FILE",
                    "state inspect",
                    "state inspect FILE");

    private CommandLineForms() {}

    static void write(GoldenFile file) throws IOException {
        writeCommand(file, new CommandLine(new Main()));
        Path directory = Files.createTempDirectory("forms");
        Path platformSettings =
                Files.write(directory.resolve("a.toml"), GoldenFile.readInput("settings.toml"));
        Path operatorSettings =
                Files.write(directory.resolve("b.xml"), GoldenFile.readInput("operators.xml"));
        for (String line : COMMAND_LINES) {
            String[] arguments =
                    Stream.of(line.split(" "))
                            .filter(word -> !word.isEmpty())
                            .map(word -> word.equals("GOOD") ? platformSettings.toString() : word)
                            .map(
                                    word ->
                                            word.equals("OPERATORS")
                                                    ? operatorSettings.toString()
                                                    : word)
                            .map(word -> word.equals("FILE") ? directory + "/none" : word)
                            .toArray(String[]::new);
            file.add("exit code of pepperfield " + line, String.valueOf(run(arguments)));
        }
        Files.delete(platformSettings);
        Files.delete(operatorSettings);
        Files.delete(directory);
    }

    private static int run(String... arguments) {
        return new CommandLine(new Main())
                .setOut(new PrintWriter(new StringWriter()))
                .setErr(new PrintWriter(new StringWriter()))
                .execute(arguments);
    }

    private static void writeCommand(GoldenFile file, CommandLine command) {
        CommandSpec spec = command.getCommandSpec();
        String name = spec.qualifiedName();
        file.add(
                "command",
                name
                        + (spec.usageMessage().hidden() ? ", hidden" : "")
                        + ", exit codes "
                        + spec.exitCodeOnSuccess()
                        + " "
                        + spec.exitCodeOnExecutionException()
                        + " "
                        + spec.exitCodeOnInvalidInput());
        spec.options().stream()
                .sorted(Comparator.comparing(OptionSpec::longestName))
                .forEach(
                        option ->
                                file.add(
                                        name + " option",
                                        String.join(", ", option.names())
                                                + describeArgument(option)));
        spec.positionalParameters()
                .forEach(
                        parameter ->
                                file.add(
                                        name + " parameter",
                                        parameter.index() + describeArgument(parameter)));
        command.getSubcommands().values().forEach(subcommand -> writeCommand(file, subcommand));
    }

    private static String describeArgument(ArgSpec argument) {
        return ", arity "
                + argument.arity()
                + (argument.required() ? ", required" : "")
                + (argument.hidden() ? ", hidden" : "")
                + ", split by \""
                + argument.splitRegex()
                + "\", default "
                + declaredDefault(argument)
                + (argument.arity().max() == 0 ? "" : ", " + argument.paramLabel());
    }

    /**
     * Returns the default as declared. Environment variables are not expanded, so the result does
     * not depend on the environment of the test.
     */
    private static String declaredDefault(ArgSpec argument) {
        CommandLine command = argument.command().commandLine();
        command.setInterpolateVariables(false);
        String declaredValue = argument.defaultValue();
        command.setInterpolateVariables(true);
        return declaredValue;
    }
}
