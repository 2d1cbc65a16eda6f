package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.jobs.TaskState.Phase;
import io.pepperfield.leadership.LeadershipView;
import io.pepperfield.standin.Fault.LargeArrays;
import io.pepperfield.standin.Fault.OperatorCommand;
import io.pepperfield.standin.InMemoryKeyValueStore;
import io.pepperfield.standin.RegionSettings;
import io.pepperfield.standin.Scenario;
import io.pepperfield.standin.SimOperator.Command;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.standin.SimulatedRegion;
import io.pepperfield.standin.Version;
import io.pepperfield.store.Keys;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Figures for {@code docs/design/rollout.md}, not part of the tests: what a rollback of 10,000
 * records takes, and what the compact form saves. Run its {@code main} with the test class path.
 */
final class RolloutMeasurement {

    private static final int RECORDS = 10_000;
    private static final int LINES = 136;
    private static final int ARRAYS = 6;
    private static final int TASKS = 600;

    private RolloutMeasurement() {}

    /** A leader that is never replaced. */
    private record Lead(InMemoryKeyValueStore state) implements LeadershipView {
        @Override
        public boolean holdsValidLease() {
            return true;
        }

        @Override
        public FencingToken fencingToken() {
            return new FencingToken(state.modRevision(Keys.V2_LEADER));
        }

        @Override
        public long grant() {
            return 1;
        }

        @Override
        public JsonNode leaderKeyValue() {
            return Json.object().put("node", "node-0").put("grant", 1);
        }

        @Override
        public String leaderNode() {
            return "node-0";
        }
    }

    /** Prints all figures. */
    public static void main(String[] arguments) {
        rollback();
        for (boolean compact : new boolean[] {false, true}) {
            starts(compact);
        }
        submissionsAround(Command.ACTIVATE);
        submissionsAround(Command.ROLLBACK);
    }

    private static void rollback() {
        SimulatedLoop loop = new SimulatedLoop();
        InMemoryKeyValueStore state = new InMemoryKeyValueStore();
        JsonNode record = CompactRunRecords.encode(TaskState.encode(lines()));
        for (int job = 0; job < RECORDS; job++) {
            state.put(
                    Keys.V2_RUN_RECORD_PREFIX + String.format(Locale.ROOT, "run-%06d/0", job),
                    record);
        }
        ClusterVersion active = ClusterVersion.INITIAL.activated(2, List.of());
        state.put(Keys.V2_LEADER, new Lead(state).leaderKeyValue());
        state.put(Keys.ROLLOUT_VERSION, active.rollingBack().write());
        Settings settings = RegionSettings.of(0, 1, new Settings.StoreLimits(150, 50, 8, 40));
        Rollout rollout = new Rollout(loop, settings, state, Release.CURRENT);
        rollout.attach(new Lead(state), id -> null);
        rollout.changed(
                Keys.ROLLOUT_VERSION,
                state.get(Keys.ROLLOUT_VERSION),
                state.modRevision(Keys.ROLLOUT_VERSION));
        int transactions = state.transactions;
        int changes = state.mutations;
        while (state.get(Keys.ROLLOUT_VERSION).path("highest").asInt() > 1) {
            loop.run(loop.now() + 0.1);
            rollout.tick();
        }
        System.out.printf(
                "rollback of %d records: %.0f s at 50 changes/s, %d transactions, %d changes%n",
                RECORDS, loop.now(), state.transactions - transactions, state.mutations - changes);
        System.out.printf(
                "a record of %d lines: %d bytes compact, %d in the first form%n",
                LINES, Json.write(record).length, Json.write(TaskState.encode(lines())).length);
    }

    private static List<TaskState> lines() {
        List<TaskState> lines = new ArrayList<>();
        for (int task = 0; task < LINES; task++) {
            boolean done = task < LINES / 2;
            lines.add(
                    new TaskState(
                            task,
                            1,
                            done ? Phase.DONE : Phase.LIVE,
                            done ? "" : "host-" + (100_000 + task / 4),
                            done ? 0 : 1));
        }
        return lines;
    }

    /** What users see who submit a job every 50 ms while an operator's command is carried out. */
    private static void submissionsAround(Command command) {
        SimulatedRegion region = SimulatedRegion.beforeRollout(2, Version.ROLLOUT);
        Scenario day = Scenario.jobs(1, 1);
        if (command == Command.ROLLBACK) {
            day = day.at(10, new OperatorCommand(Command.ACTIVATE, 5));
        }
        region.schedule(day.at(20, new OperatorCommand(command, 5)));
        int[] refused = new int[2];
        double[] longest = new double[2];
        for (int i = 0; i < 200; i++) {
            int number = 500_000 + i;
            double sent = 15 + 0.05 * i;
            int half = sent < 20 ? 0 : 1;
            region.world.at(
                    sent,
                    () ->
                            region.directRequests.submitAt(
                                    number % 5,
                                    number,
                                    reply -> {
                                        refused[half] += reply.status() == 201 ? 0 : 1;
                                        double took = region.world.now() - sent;
                                        longest[half] = Math.max(longest[half], took);
                                    }));
        }
        region.world.run(40);
        System.out.printf(
                "%s: of 100 submissions in 5 s before and after, %d and %d refused, longest %.3f s and %.3f s%n",
                command, refused[0], refused[1], longest[0], longest[1]);
    }

    /** The same arrays under either version. */
    private static void starts(boolean compact) {
        SimulatedRegion region = SimulatedRegion.beforeRollout(1, Version.ROLLOUT);
        Scenario day = Scenario.jobs(1, 1);
        if (compact) {
            day = day.at(10, new OperatorCommand(Command.ACTIVATE, 10));
        }
        day = day.at(20, new LargeArrays(ARRAYS, TASKS, 20));
        region.schedule(day);
        region.world.run(19);
        int changes = region.storedMutations();
        long bytes = region.bytesWritten();
        region.world.run(400);
        System.out.printf(
                "%s form: %d starts, %d changes, %d bytes of values%n",
                compact ? "compact" : "first",
                region.taskStarts(),
                region.storedMutations() - changes,
                region.bytesWritten() - bytes);
    }
}
