package io.pepperfield.cli;

import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsException;
import io.pepperfield.http.BlockingHttpClient;
import io.pepperfield.recovery.ArchiveException;
import io.pepperfield.recovery.ArchiveWriter;
import io.pepperfield.recovery.HttpSnapshotSource;
import io.pepperfield.recovery.StateArchive;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** The {@code state} commands: export all keys into an archive, and inspect an archive. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description = "Writes and checks archives of all that the state service holds.",
        subcommands = {StateCommand.ExportCommand.class, StateCommand.InspectCommand.class})
final class StateCommand extends CommandGroup {

    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

    /** Writes a complete archive, or none if the export fails. */
    @Command(
            name = "export",
            mixinStandardHelpOptions = true,
            description = "Writes all keys, as of one revision, into an archive.")
    static final class ExportCommand implements Callable<Integer> {

        @Mixin private SettingsFiles files;

        @Parameters(paramLabel = "FILE", description = "The archive to be written; must not exist.")
        private Path file;

        @Override
        public Integer call() {
            try (BlockingHttpClient client = new BlockingHttpClient(MAX_RESPONSE_BYTES)) {
                Settings settings = files.read();
                HttpSnapshotSource source =
                        new HttpSnapshotSource(
                                client,
                                settings.storeAddress(),
                                settings.deployment().storeLimits().requestsPerS());
                long revision = new ArchiveWriter(source, controllerNames(settings)).write(file);
                System.out.println(file + ": revision " + revision);
                return ExitCode.SUCCESS;
            } catch (SettingsException | IOException e) {
                return ExitCode.failure(e.getMessage());
            }
        }

        private static List<String> controllerNames(Settings settings) {
            List<String> names = new ArrayList<>(List.of(settings.node()));
            settings.members().forEach(member -> names.add(member.node()));
            names.sort(null);
            return names;
        }
    }

    /** Validates an archive and prints a summary of its contents. */
    @Command(
            name = "inspect",
            mixinStandardHelpOptions = true,
            description = "Checks an archive and says what it holds, or names its first fault.")
    static final class InspectCommand implements Callable<Integer> {

        @Parameters(paramLabel = "FILE", description = "The archive.")
        private Path file;

        @Override
        public Integer call() {
            try {
                StateArchive archive = StateArchive.inspect(file);
                System.out.println("revision " + archive.revision());
                System.out.println("controllers " + String.join(", ", archive.controllers()));
                archive.keyCounts()
                        .forEach((keyType, count) -> System.out.println(keyType + " " + count));
                return ExitCode.SUCCESS;
            } catch (ArchiveException e) {
                return ExitCode.failure(file + ": " + e.getMessage());
            }
        }
    }
}
