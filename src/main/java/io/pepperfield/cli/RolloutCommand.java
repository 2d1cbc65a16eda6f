package io.pepperfield.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.Json;
import io.pepperfield.rollout.Rollout;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * The {@code rollout} commands: show, activate, finalize and roll back the stored-state version.
 */
@Command(
        name = "rollout",
        mixinStandardHelpOptions = true,
        description = "Shows and changes the stored-state version of the cluster.",
        subcommands = {
            RolloutCommand.StatusCommand.class,
            RolloutCommand.ActivateCommand.class,
            RolloutCommand.FinalizeCommand.class,
            RolloutCommand.RollbackCommand.class
        })
final class RolloutCommand extends CommandGroup {

    /**
     * Prints the version, the controllers' releases and the controllers that block an activation.
     */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows the version, every controller's release and who is waited for.")
    static final class StatusCommand implements Callable<Integer> {

        @Mixin private ControllerClient client;

        @Override
        public Integer call() {
            return client.request("GET", Rollout.PATH, null);
        }
    }

    /** A change of the version, which only the leader carries out. */
    private abstract static class VersionChangeCommand implements Callable<Integer> {

        @Mixin private ControllerClient client;

        private final String path;

        VersionChangeCommand(String name) {
            path = Rollout.PATH + "/" + name;
        }

        /** Returns the request body with the options of the command. */
        ObjectNode body() {
            return Json.object();
        }

        @Override
        public Integer call() {
            return client.requestFromLeader("POST", path, Json.write(body()));
        }
    }

    /** Activates the next version once every controller has declared support for it. */
    @Command(
            name = "activate",
            mixinStandardHelpOptions = true,
            description = "Writes the next version from now on; may be repeated.")
    static final class ActivateCommand extends VersionChangeCommand {

        @Option(
                names = "--to",
                paramLabel = "VERSION",
                description = "The version (default: the newest that the leader writes).")
        private Integer target;

        @Option(
                names = "--without",
                split = ",",
                paramLabel = "NODE",
                description = "Controllers that never come back and are not waited for.")
        private List<String> without = new ArrayList<>();

        @Option(
                names = "--older-releases-retired",
                description =
                        "Your word that no release without a version gate will be started again.")
        private boolean olderReleasesRetired;

        ActivateCommand() {
            super("activate");
        }

        @Override
        ObjectNode body() {
            ObjectNode body = Json.object().put("olderReleasesRetired", olderReleasesRetired);
            if (target != null) {
                body.put("to", target);
            }
            without.forEach(body.putArray("without")::add);
            return body;
        }
    }

    /** Finalizes the active version; it can no longer be rolled back. */
    @Command(
            name = "finalize",
            mixinStandardHelpOptions = true,
            description = "Makes the active version final: there is no way back afterwards.")
    static final class FinalizeCommand extends VersionChangeCommand {

        FinalizeCommand() {
            super("finalize");
        }
    }

    /** Rolls back to the previous version. */
    @Command(
            name = "rollback",
            mixinStandardHelpOptions = true,
            description = "Goes back to the version before; may be repeated to see what is left.")
    static final class RollbackCommand extends VersionChangeCommand {

        RollbackCommand() {
            super("rollback");
        }
    }
}
