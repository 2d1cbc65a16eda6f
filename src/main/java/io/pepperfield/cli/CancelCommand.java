package io.pepperfield.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** The {@code cancel} command: requests the cancellation of a job. */
@Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancels a job.")
final class CancelCommand implements Callable<Integer> {

    @Mixin private ControllerClient client;

    @Parameters(paramLabel = "JOB", description = "The job's id, such as run-000412.")
    private String job;

    @Override
    public Integer call() {
        return client.requestForJob("POST", job, "/cancel", new byte[0]);
    }
}
