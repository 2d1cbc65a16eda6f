package io.pepperfield.standin;

import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;

/** An operator at the console, who repeats a command at every controller until one confirms it. */
public final class SimOperator {

    /** What the operator asks for. */
    public enum Command {
        ACTIVATE("activate", "{\"to\":2,\"olderReleasesRetired\":true}"),
        FINALIZE("finalize", "{}"),
        ROLLBACK("rollback", "{}");

        private final String path;
        private final String body;

        Command(String path, String body) {
            this.path = "/api/rollout/" + path;
            this.body = body;
        }
    }

    /** A command that is not confirmed yet, and until when it is asked for. */
    private record Task(Command command, double until) {}

    private static final double EVERY_S = 0.7;

    private final SimWorld world;
    private final List<SimNode> nodes;
    private final Queue<Task> tasks = new ArrayDeque<>();

    private boolean asking;

    /** Commands that were confirmed, in their order. */
    public final List<Command> confirmed = new ArrayList<>();

    /** Why commands were refused, in their order. */
    public final List<String> refusals = new ArrayList<>();

    SimOperator(SimWorld world, List<SimNode> nodes) {
        this.world = world;
        this.nodes = nodes;
    }

    /** Asks until then at the latest, once what was asked for before is confirmed or given up. */
    void repeatUntilConfirmed(Command command, double until) {
        tasks.add(new Task(command, until));
        if (!asking) {
            ask();
        }
    }

    private void ask() {
        asking = true;
        Task task = tasks.peek();
        for (SimNode node : nodes) {
            node.request(
                    "operator",
                    "POST",
                    task.command.path,
                    task.command.body.getBytes(StandardCharsets.UTF_8),
                    reply -> answered(task, reply));
        }
        world.after(EVERY_S, this::askAgain);
    }

    private void answered(Task task, HttpReply reply) {
        if (reply.status() != 200) {
            refusals.add(Json.read(reply.body()).path("error").asText());
        } else if (tasks.peek() == task) {
            confirmed.add(task.command);
            tasks.remove();
        }
    }

    private void askAgain() {
        tasks.removeIf(task -> task.until < world.now());
        asking = !tasks.isEmpty();
        if (asking) {
            ask();
        }
    }
}
