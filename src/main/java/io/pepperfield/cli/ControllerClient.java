package io.pepperfield.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.pepperfield.http.HttpClient;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.OutboundRequest;
import io.pepperfield.jobs.JobMessages;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The public interface from outside: the first controller that answers is asked. */
final class ControllerClient {

    private static final long DEADLINE_MS = 5000;
    private static final int UNAVAILABLE = 503;

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
        if (!JobMessages.validId(job)) {
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
        for (String server : servers) {
            if (server.lastIndexOf(':') < 1 || parsePort(server) < 0) {
                throw new ParameterException(command.commandLine(), server + ": want HOST:PORT");
            }
        }
        EventLoopGroup network = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            HttpClient client = new HttpClient(network, 16 * 1024 * 1024);
            HttpOutcome.Answered undecided = null;
            for (String server : servers) {
                CompletableFuture<HttpOutcome> outcome = new CompletableFuture<>();
                client.send(
                        new OutboundRequest(
                                server.substring(0, server.lastIndexOf(':')),
                                parsePort(server),
                                1,
                                method,
                                path,
                                body,
                                DEADLINE_MS),
                        outcome::complete);
                if (outcome.join() instanceof HttpOutcome.Answered answer) {
                    if (decides.test(answer)) {
                        return printAnswer(answer);
                    }
                    undecided = answer;
                }
            }
            if (undecided != null) {
                return printAnswer(undecided);
            }
            System.err.println(
                    "pepperfield: " + servers.get(servers.size() - 1) + " does not answer");
            return 1;
        } finally {
            network.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
        }
    }

    private static int parsePort(String server) {
        try {
            int port = Integer.parseInt(server.substring(server.lastIndexOf(':') + 1));
            return port <= 65535 ? port : -1;
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    private static int printAnswer(HttpOutcome.Answered answer) {
        JsonNode json = answer.json();
        boolean fine = answer.status() / 100 == 2;
        if (!fine) {
            System.err.println(
                    "pepperfield: "
                            + answer.status()
                            + (json.has("error") ? ": " + json.path("error").asText() : ""));
            return 1;
        }
        try {
            System.out.println(
                    new ObjectMapper()
                            .enable(SerializationFeature.INDENT_OUTPUT)
                            .writeValueAsString(json));
        } catch (IOException e) {
            throw new IllegalStateException("a tree cannot fail to be written", e);
        }
        return 0;
    }
}
