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

/** The {@code state} commands: an archive of all keys, and a look at one. */
@Command(
        name = "state",
        mixinStandardHelpOptions = true,
        description = "Writes and checks archives of all that the state service holds.",
        subcommands = {StateCommand.ExportCommand.class, StateCommand.InspectCommand.class})
final class StateCommand extends CommandGroup {

    private static final int MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

    /** Writes an archive, whole or not at all. */
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
                long revision = new ArchiveWriter(source, controllers(settings)).write(file);
                System.out.println(file + ": revision " + revision);
                return ExitCode.SUCCESS;
            } catch (SettingsException | IOException e) {
                return ExitCode.failure(e.getMessage());
            }
        }

        private static List<String> controllers(Settings settings) {
            List<String> names = new ArrayList<>(List.of(settings.node()));
            settings.members().forEach(member -> names.add(member.node()));
            names.sort(null);
            return names;
        }
    }

    /** Checks an archive and says what it holds. */
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
                        .forEach((keyKind, count) -> System.out.println(keyKind + " " + count));
                return ExitCode.SUCCESS;
            } catch (ArchiveException e) {
                return ExitCode.failure(file + ": " + e.getMessage());
            }
        }
    }
}
