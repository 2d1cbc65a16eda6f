package io.pepperfield.forms;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings.Address;
import io.pepperfield.http.Json;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.HttpStateService;
import io.pepperfield.store.StateService.Change;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.StateService.ReadResult;
import io.pepperfield.store.StateService.TxnResult;
import io.pepperfield.store.StateService.Urgency;
import java.util.List;

/** What is asked of the state service, and what is read of its answers. */
final class StateServiceForms {

    private final FormFile file;
    private final SimulatedLoop loop = new SimulatedLoop();
    private final RecordingSender sender;
    private final HttpStateService state;

    private StateServiceForms(FormFile file) {
        this.file = file;
        sender = new RecordingSender(file);
        state = new HttpStateService(loop, sender, new Address("10.2.0.1", 2379));
        state.share(50, 20, 20);
        loop.run(1);
    }

    static void write(FormFile file) {
        StateServiceForms forms = new StateServiceForms(file);
        for (int status : new int[] {200, 400, 409, 410, 429, 500, 503}) {
            forms.write(status, "{\"generation\":17,\"failed\":[\"pepperfield/leader\"]}");
        }
        forms.write(200, "{}");
        file.addRead("range", FormFile.json("state-range.json"), forms::range);
        file.addRead("follow", FormFile.json("state-follow.json"), forms::follow);
        forms.unread();
        forms.grants();
    }

    private void pass() {
        loop.run(loop.now() + 20);
    }

    private void write(int status, String answer) {
        sender.answer(status, answer);
        state.txn(
                Urgency.RUN,
                List.of(new Guard("pepperfield/leader", 41), new Guard("pepperfield/types", 0)),
                List.of(
                        Change.set("pepperfield/types", Json.array()),
                        new Change("pepperfield/leader", Json.object().put("node", "a"), 7),
                        Change.delete("pepperfield/end/run-000001")),
                result -> file.add("answered " + status + " " + answer, told(result)));
        pass();
    }

    private static String told(TxnResult result) {
        if (result instanceof TxnResult.Committed committed) {
            return "committed at " + committed.revision();
        } else if (result instanceof TxnResult.Conflict conflict) {
            return "conflict of " + conflict.failed();
        }
        return result instanceof TxnResult.Refused refused
                ? "refused with " + refused.status()
                : "unknown";
    }

    private String range(JsonNode answer) {
        sender.answer(200, Json.write(answer));
        StringBuilder read = new StringBuilder();
        state.range("pepperfield/job/run-000001", result -> read.append(told(result)));
        pass();
        return read.toString();
    }

    private String follow(JsonNode answer) {
        sender.answer(200, Json.write(answer));
        StringBuilder read = new StringBuilder();
        state.follow(16, 2.5, result -> read.append(told(result)));
        pass();
        return read.toString();
    }

    private static String told(ReadResult result) {
        if (result instanceof ReadResult.Read read) {
            StringBuilder items = new StringBuilder("read up to " + read.revision());
            read.items()
                    .forEach(
                            item ->
                                    items.append(", ")
                                            .append(item.key())
                                            .append(" = ")
                                            .append(item.data())
                                            .append(" at ")
                                            .append(item.stamp()));
            return items + (read.more() ? ", and there is more" : "");
        }
        return result instanceof ReadResult.TooOld ? "too old" : "failed";
    }

    private void unread() {
        for (int status : new int[] {410, 503}) {
            sender.answer(status, "{}");
            state.range("", result -> file.add("range answered " + status, told(result)));
            state.follow(16, 0, result -> file.add("follow answered " + status, told(result)));
            pass();
        }
    }

    private void grants() {
        for (int status : new int[] {200, 404, 503}) {
            sender.answer(status, "{\"claim\":7}");
            state.grant(
                    6.5,
                    result ->
                            file.add(
                                    "grant answered " + status, result.id() + gone(result.gone())));
            state.touch(
                    7,
                    result ->
                            file.add(
                                    "touch answered " + status, result.id() + gone(result.gone())));
            state.endGrant(7);
            pass();
        }
    }

    private static String gone(boolean gone) {
        return gone ? " gone" : "";
    }
}
