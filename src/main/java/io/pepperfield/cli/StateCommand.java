package io.pepperfield.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsException;
import io.pepperfield.http.HttpClient;
import io.pepperfield.recovery.ArchiveException;
import io.pepperfield.recovery.ArchiveWriter;
import io.pepperfield.recovery.HttpSnapshotSource;
import io.pepperfield.recovery.StateArchive;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
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

    private static int reportFailure(String why) {
        System.err.println("pepperfield: " + why);
        return 1;
    }

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
            EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            try {
                Settings settings = files.read();
                HttpSnapshotSource source =
                        new HttpSnapshotSource(
                                new HttpClient(network, MAX_RESPONSE_BYTES),
                                settings.storeAddress(),
                                settings.deployment().storeLimits().requestsPerS());
                long revision = new ArchiveWriter(source, controllers(settings)).write(file);
                System.out.println(file + ": revision " + revision);
                return 0;
            } catch (SettingsException | IOException e) {
                return reportFailure(e.getMessage());
            } finally {
                network.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
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
                        .forEach((kind, count) -> System.out.println(kind + " " + count));
                return 0;
            } catch (ArchiveException e) {
                return reportFailure(file + ": " + e.getMessage());
            }
        }
    }
}
