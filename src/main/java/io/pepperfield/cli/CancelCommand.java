package io.pepperfield.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** The {@code cancel} command: asks a controller to cancel one job. */
@Command(name = "cancel", mixinStandardHelpOptions = true, description = "Cancels a job.")
final class CancelCommand implements Callable<Integer> {

    @Mixin private ControllerClient remote;

    @Parameters(paramLabel = "JOB", description = "The job's id, such as run-000412.")
    private String job;

    @Override
    public Integer call() {
        return remote.requestForJob("POST", job, "/cancel", new byte[0]);
    }
}
