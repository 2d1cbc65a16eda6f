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

/** The {@code rollout} commands: the stored-state version, and the way forward and back. */
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

    /** Prints the version, the controllers' releases and who holds up an activation. */
    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows the version, every controller's release and who is waited for.")
    static final class StatusCommand implements Callable<Integer> {

        @Mixin private ControllerClient remote;

        @Override
        public Integer call() {
            return remote.request("GET", Rollout.PATH, null);
        }
    }

    /** A change of the version, which only the leader makes. */
    private abstract static class VersionChangeCommand implements Callable<Integer> {

        @Mixin private ControllerClient remote;

        private final String path;

        VersionChangeCommand(String name) {
            path = Rollout.PATH + "/" + name;
        }

        /** What the leader has to know beside the command. */
        ObjectNode body() {
            return Json.object();
        }

        @Override
        public Integer call() {
            return remote.requestFromLeader("POST", path, Json.write(body()));
        }
    }

    /** Activates the next version once every controller has declared that it knows it. */
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
        private boolean olderRetired;

        ActivateCommand() {
            super("activate");
        }

        @Override
        ObjectNode body() {
            ObjectNode body = Json.object().put("olderReleasesRetired", olderRetired);
            if (target != null) {
                body.put("to", target);
            }
            without.forEach(body.putArray("without")::add);
            return body;
        }
    }

    /** Closes the way back. */
    @Command(
            name = "finalize",
            mixinStandardHelpOptions = true,
            description = "Makes the active version final: there is no way back afterwards.")
    static final class FinalizeCommand extends VersionChangeCommand {

        FinalizeCommand() {
            super("finalize");
        }
    }

    /** Goes back to the version before. */
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
