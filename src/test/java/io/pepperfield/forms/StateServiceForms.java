package io.pepperfield.forms;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings.Address;
import io.pepperfield.http.Json;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.HttpKeyValueStore;
import io.pepperfield.store.KeyValueStore.CompareAndSwapOutcome;
import io.pepperfield.store.KeyValueStore.GrantOutcome;
import io.pepperfield.store.KeyValueStore.Mutation;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.KeyValueStore.ReadResult;
import io.pepperfield.store.KeyValueStore.RequestPriority;
import java.util.List;

/** What is asked of the state service, and what is read of its answers. */
final class StateServiceForms {

    private final GoldenFile file;
    private final SimulatedLoop loop = new SimulatedLoop();
    private final RecordingSender sender;
    private final HttpKeyValueStore state;

    private StateServiceForms(GoldenFile file) {
        this.file = file;
        sender = new RecordingSender(file);
        state = new HttpKeyValueStore(loop, sender, new Address("10.2.0.1", 2379));
        state.setRates(50, 20, 20);
        loop.run(1);
    }

    static void write(GoldenFile file) {
        StateServiceForms forms = new StateServiceForms(file);
        for (int status : new int[] {200, 400, 409, 410, 429, 500, 503}) {
            forms.write(status, "{\"generation\":17,\"failed\":[\"pepperfield/leader\"]}");
        }
        forms.write(200, "{}");
        file.addWithFieldMutations(
                "range", GoldenFile.readJsonInput("state-range.json"), forms::range);
        file.addWithFieldMutations(
                "follow", GoldenFile.readJsonInput("state-follow.json"), forms::follow);
        forms.unread();
        forms.grants();
    }

    private void pass() {
        loop.run(loop.now() + 20);
    }

    private void write(int status, String answer) {
        sender.respondWith(status, answer);
        state.compareAndSwap(
                RequestPriority.LEADER_WRITE,
                List.of(
                        new Precondition("pepperfield/leader", 41),
                        new Precondition("pepperfield/types", 0)),
                List.of(
                        Mutation.set("pepperfield/types", Json.array()),
                        new Mutation("pepperfield/leader", Json.object().put("node", "a"), 7),
                        Mutation.delete("pepperfield/end/run-000001")),
                result -> file.add("answered " + status + " " + answer, told(result)));
        pass();
    }

    private static String told(CompareAndSwapOutcome result) {
        if (result instanceof CompareAndSwapOutcome.Committed committed) {
            return "committed at " + committed.revision();
        } else if (result instanceof CompareAndSwapOutcome.Conflict conflict) {
            return "conflict of " + conflict.failedKeys();
        }
        return result instanceof CompareAndSwapOutcome.Refused refused
                ? "refused with " + refused.status()
                : "unknown";
    }

    private String range(JsonNode answer) {
        sender.respondWith(200, Json.write(answer));
        StringBuilder read = new StringBuilder();
        state.readPage("pepperfield/job/run-000001", result -> read.append(told(result)));
        pass();
        return read.toString();
    }

    private String follow(JsonNode answer) {
        sender.respondWith(200, Json.write(answer));
        StringBuilder read = new StringBuilder();
        state.watch(16, 2.5, result -> read.append(told(result)));
        pass();
        return read.toString();
    }

    private static String told(ReadResult result) {
        if (result instanceof ReadResult.Read read) {
            StringBuilder items = new StringBuilder("read up to " + read.revision());
            read.entries()
                    .forEach(
                            item ->
                                    items.append(", ")
                                            .append(item.key())
                                            .append(" = ")
                                            .append(item.value())
                                            .append(" at ")
                                            .append(item.modRevision()));
            return items + (read.hasMore() ? ", and there is more" : "");
        }
        return result instanceof ReadResult.RevisionTooOld ? "too old" : "failed";
    }

    private void unread() {
        for (int status : new int[] {410, 503}) {
            sender.respondWith(status, "{}");
            state.readPage("", result -> file.add("range answered " + status, told(result)));
            state.watch(16, 0, result -> file.add("follow answered " + status, told(result)));
            pass();
        }
    }

    private void grants() {
        for (int status : new int[] {200, 404, 503}) {
            sender.respondWith(status, "{\"claim\":7}");
            state.createGrant(6.5, result -> file.add("grant answered " + status, told(result)));
            state.renewGrant(7, result -> file.add("touch answered " + status, told(result)));
            state.revokeGrant(7);
            pass();
        }
    }

    private static String told(GrantOutcome outcome) {
        if (outcome instanceof GrantOutcome.Granted granted) {
            return String.valueOf(granted.id());
        }
        return outcome instanceof GrantOutcome.Ended ? "0 gone" : "0";
    }
}
