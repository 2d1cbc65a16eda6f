package io.pepperfield.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** The {@code nodes} command: prints the cluster state as seen by one controller. */
@Command(
        name = "nodes",
        mixinStandardHelpOptions = true,
        description =
                "Shows what a controller knows: the leader, and on the leader machines, teams and what waits for what.")
final class NodesCommand implements Callable<Integer> {

    @Mixin private ControllerClient client;

    @Override
    public Integer call() {
        return client.request("GET", "/api/nodes", null);
    }
}
