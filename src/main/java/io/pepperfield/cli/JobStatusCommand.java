package io.pepperfield.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** The {@code status} command: prints the state of a job. */
@Command(name = "status", mixinStandardHelpOptions = true, description = "Shows a job's state.")
final class JobStatusCommand implements Callable<Integer> {

    @Mixin private ControllerClient client;

    @Parameters(paramLabel = "JOB", description = "The job's id, such as run-000412.")
    private String job;

    @Override
    public Integer call() {
        return client.requestForJob("GET", job, "", null);
    }
}
