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

/**
 * Client of the controllers' public API; sends each request to the first controller that replies.
 */
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

    /** Sends a request for a job; an invalid job ID is a usage error. */
    int requestForJob(String method, String job, String action, byte[] body) {
        if (!JobMessages.isValidId(job)) {
            throw new ParameterException(
                    command.commandLine(), job + ": expected a job ID such as run-000412");
        }
        return request(method, "/api/jobs/" + job + action, body);
    }

    /** Prints the first controller's reply; returns 0 for a 2xx status and 1 otherwise. */
    int request(String method, String path, byte[] body) {
        return request(method, path, body, reply -> true);
    }

    /** Like {@link #request}, but tries the next controller if one replies with 503. */
    int requestFromLeader(String method, String path, byte[] body) {
        return request(method, path, body, reply -> reply.status() != UNAVAILABLE);
    }

    private int request(
            String method, String path, byte[] body, Predicate<HttpOutcome.Answered> isFinal) {
        List<Address> controllers = servers.stream().map(this::parseServer).toList();
        HttpOutcome.Answered lastUnavailable = null;
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
                if (client.send(request) instanceof HttpOutcome.Answered reply) {
                    if (isFinal.test(reply)) {
                        return printReply(reply);
                    }
                    lastUnavailable = reply;
                }
            }
        }
        return lastUnavailable == null
                ? ExitCode.failure(servers.get(servers.size() - 1) + " does not answer")
                : printReply(lastUnavailable);
    }

    /** Parses a host and port; an invalid address is a usage error. */
    private Address parseServer(String server) {
        int colon = server.lastIndexOf(':');
        int port = parsePort(server.substring(colon + 1));
        if (colon < 1 || port < 0 || port > MAX_PORT) {
            throw new ParameterException(command.commandLine(), server + ": expected HOST:PORT");
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

    private static int printReply(HttpOutcome.Answered reply) {
        JsonNode json = reply.json();
        if (reply.status() / 100 != SUCCESS_CLASS) {
            String error = json.has("error") ? ": " + json.path("error").asText() : "";
            return ExitCode.failure(reply.status() + error);
        }
        try {
            System.out.println(
                    new ObjectMapper()
                            .enable(SerializationFeature.INDENT_OUTPUT)
                            .writeValueAsString(json));
        } catch (IOException e) {
            throw new IllegalStateException("JSON tree cannot be serialized", e);
        }
        return ExitCode.SUCCESS;
    }
}
