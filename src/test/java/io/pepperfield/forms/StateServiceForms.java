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

/** Requests to the state service and the decoded replies. */
final class StateServiceForms {

    private final GoldenFile file;
    private final SimulatedLoop loop = new SimulatedLoop();
    private final RecordingSender sender;
    private final HttpKeyValueStore store;

    private StateServiceForms(GoldenFile file) {
        this.file = file;
        sender = new RecordingSender(file);
        store = new HttpKeyValueStore(loop, sender, new Address("10.2.0.1", 2379));
        store.setRates(50, 20, 20);
        loop.run(1);
    }

    static void write(GoldenFile file) {
        StateServiceForms forms = new StateServiceForms(file);
        for (int status : new int[] {200, 400, 409, 410, 429, 500, 503}) {
            forms.writeTransaction(
                    status, "{\"generation\":17,\"failed\":[\"pepperfield/leader\"]}");
        }
        forms.writeTransaction(200, "{}");
        file.addWithFieldMutations(
                "range", GoldenFile.readJsonInput("state-range.json"), forms::decodePage);
        file.addWithFieldMutations(
                "follow", GoldenFile.readJsonInput("state-follow.json"), forms::decodeWatch);
        forms.writeFailedReads();
        forms.writeGrants();
    }

    private void runLoop() {
        loop.run(loop.now() + 20);
    }

    private void writeTransaction(int status, String reply) {
        sender.respondWith(status, reply);
        store.compareAndSwap(
                RequestPriority.LEADER_WRITE,
                List.of(
                        new Precondition("pepperfield/leader", 41),
                        new Precondition("pepperfield/types", 0)),
                List.of(
                        Mutation.set("pepperfield/types", Json.array()),
                        new Mutation("pepperfield/leader", Json.object().put("node", "a"), 7),
                        Mutation.delete("pepperfield/end/run-000001")),
                outcome -> file.add("answered " + status + " " + reply, describe(outcome)));
        runLoop();
    }

    private static String describe(CompareAndSwapOutcome outcome) {
        if (outcome instanceof CompareAndSwapOutcome.Committed committed) {
            return "committed at " + committed.revision();
        } else if (outcome instanceof CompareAndSwapOutcome.Conflict conflict) {
            return "conflict of " + conflict.failedKeys();
        }
        return outcome instanceof CompareAndSwapOutcome.Refused refused
                ? "refused with " + refused.status()
                : "unknown";
    }

    private String decodePage(JsonNode reply) {
        sender.respondWith(200, Json.write(reply));
        StringBuilder description = new StringBuilder();
        store.readPage(
                "pepperfield/job/run-000001", outcome -> description.append(describe(outcome)));
        runLoop();
        return description.toString();
    }

    private String decodeWatch(JsonNode reply) {
        sender.respondWith(200, Json.write(reply));
        StringBuilder description = new StringBuilder();
        store.watch(16, 2.5, outcome -> description.append(describe(outcome)));
        runLoop();
        return description.toString();
    }

    private static String describe(ReadResult outcome) {
        if (outcome instanceof ReadResult.Read page) {
            StringBuilder entries = new StringBuilder("read up to " + page.revision());
            page.entries()
                    .forEach(
                            entry ->
                                    entries.append(", ")
                                            .append(entry.key())
                                            .append(" = ")
                                            .append(entry.value())
                                            .append(" at ")
                                            .append(entry.modRevision()));
            return entries + (page.hasMore() ? ", and there is more" : "");
        }
        return outcome instanceof ReadResult.RevisionTooOld ? "too old" : "failed";
    }

    private void writeFailedReads() {
        for (int status : new int[] {410, 503}) {
            sender.respondWith(status, "{}");
            store.readPage("", outcome -> file.add("range answered " + status, describe(outcome)));
            store.watch(16, 0, outcome -> file.add("follow answered " + status, describe(outcome)));
            runLoop();
        }
    }

    private void writeGrants() {
        for (int status : new int[] {200, 404, 503}) {
            sender.respondWith(status, "{\"claim\":7}");
            store.createGrant(
                    6.5, outcome -> file.add("grant answered " + status, describe(outcome)));
            store.renewGrant(7, outcome -> file.add("touch answered " + status, describe(outcome)));
            store.revokeGrant(7);
            runLoop();
        }
    }

    private static String describe(GrantOutcome outcome) {
        if (outcome instanceof GrantOutcome.Granted granted) {
            return String.valueOf(granted.id());
        }
        return outcome instanceof GrantOutcome.Ended ? "0 gone" : "0";
    }
}
