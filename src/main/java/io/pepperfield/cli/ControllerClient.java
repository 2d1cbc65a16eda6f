package io.pepperfield.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.pepperfield.config.Settings.Address;
import io.pepperfield.http.BlockingHttpClient;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.jobs.JobMessages;
import java.io.IOException;
import java.util.List;
import java.util.function.Predicate;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The public interface from outside: the first controller that answers is asked. */
final class ControllerClient {

    private static final long DEADLINE_MS = 5000;
    private static final int UNAVAILABLE = 503;
    private static final int SUCCESS_CLASS = 2;
    private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;
    private static final int MAX_PORT = 65535;

    @Option(
            names = "--server",
            split = ",",
            paramLabel = "HOST:PORT",
            defaultValue = "${env:PEPPERFIELD_SERVER:-127.0.0.1:8080}",
            description = "Controllers to ask, in turn (default: ${DEFAULT-VALUE}).")
    private List<String> servers;

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    /** Asks about one job; what is no job's id is a mistake on the command line. */
    int requestForJob(String method, String job, String action, byte[] body) {
        if (!JobMessages.isValidId(job)) {
            throw new ParameterException(
                    command.commandLine(), job + ": want an id such as run-000412");
        }
        return request(method, "/api/jobs/" + job + action, body);
    }

    /** Prints the first controller's answer; 0 for a 2xx, 1 otherwise. */
    int request(String method, String path, byte[] body) {
        return request(method, path, body, answer -> true);
    }

    /** As {@link #request}, but asks on where a controller says that it cannot decide. */
    int requestFromLeader(String method, String path, byte[] body) {
        return request(method, path, body, answer -> answer.status() != UNAVAILABLE);
    }

    private int request(
            String method, String path, byte[] body, Predicate<HttpOutcome.Answered> decides) {
        List<Address> controllers = servers.stream().map(this::parseServer).toList();
        HttpOutcome.Answered undecided = null;
        try (BlockingHttpClient client = new BlockingHttpClient(MAX_RESPONSE_BYTES)) {
            for (Address controller : controllers) {
                OutboundRequest request =
                        new OutboundRequest(
                                controller.host(),
                                controller.port(),
                                1,
                                method,
                                path,
                                body,
                                DEADLINE_MS);
                if (client.send(request) instanceof HttpOutcome.Answered answer) {
                    if (decides.test(answer)) {
                        return printAnswer(answer);
                    }
                    undecided = answer;
                }
            }
        }
        return undecided == null
                ? ExitCode.failure(servers.get(servers.size() - 1) + " does not answer")
                : printAnswer(undecided);
    }

    /** What is no address is a mistake on the command line. */
    private Address parseServer(String server) {
        int colon = server.lastIndexOf(':');
        int port = parsePort(server.substring(colon + 1));
        if (colon < 1 || port < 0 || port > MAX_PORT) {
            throw new ParameterException(command.commandLine(), server + ": want HOST:PORT");
        }
        return new Address(server.substring(0, colon), port);
    }

    private static int parsePort(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static int printAnswer(HttpOutcome.Answered answer) {
        JsonNode json = answer.json();
        if (answer.status() / 100 != SUCCESS_CLASS) {
            String error = json.has("error") ? ": " + json.path("error").asText() : "";
            return ExitCode.failure(answer.status() + error);
        }
        try {
            System.out.println(
                    new ObjectMapper()
                            .enable(SerializationFeature.INDENT_OUTPUT)
                            .writeValueAsString(json));
        } catch (IOException e) {
            throw new IllegalStateException("a tree cannot fail to be written", e);
        }
        return ExitCode.SUCCESS;
    }
}
