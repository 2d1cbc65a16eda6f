package io.pepperfield.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Parameters;

/** The {@code submit} command: submits a job description from a JSON file. */
@Command(
        name = "submit",
        mixinStandardHelpOptions = true,
        description = "Submits a job described in a JSON file (- for standard input).")
final class SubmitCommand implements Callable<Integer> {

    @Mixin private ControllerClient client;

    @Parameters(paramLabel = "FILE", description = "The job.")
    private String file;

    @Override
    public Integer call() {
        byte[] body;
        try {
            body = file.equals("-") ? System.in.readAllBytes() : Files.readAllBytes(Path.of(file));
        } catch (IOException e) {
            return ExitCode.failure(file + " cannot be read");
        }
        return client.request("POST", "/api/jobs", body);
    }
}
