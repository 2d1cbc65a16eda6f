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
 * Produces the figures in {@code docs/design/rollout.md}: the cost of a rollback of 10,000 records
 * and the savings of the compact format. Not a test; run {@code main} with the test class path.
 */
final class RolloutMeasurement {

    private static final int RECORDS = 10_000;
    private static final int TASKS_PER_RECORD = 136;
    private static final int ARRAY_JOBS = 6;
    private static final int TASKS_PER_ARRAY = 600;

    private RolloutMeasurement() {}

    /** A leader that is never replaced. */
    private record FixedLeader(InMemoryKeyValueStore store) implements LeadershipView {
        @Override
        public boolean holdsValidLease() {
            return true;
        }

        @Override
        public FencingToken fencingToken() {
            return new FencingToken(store.modRevision(Keys.V2_LEADER));
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
        measureRollback();
        for (boolean compact : new boolean[] {false, true}) {
            measureTaskStarts(compact);
        }
        measureSubmissionsAround(Command.ACTIVATE);
        measureSubmissionsAround(Command.ROLLBACK);
    }

    private static void measureRollback() {
        SimulatedLoop loop = new SimulatedLoop();
        InMemoryKeyValueStore store = new InMemoryKeyValueStore();
        JsonNode record = CompactRunRecordCodec.encode(TaskState.encode(taskStates()));
        for (int job = 0; job < RECORDS; job++) {
            store.put(
                    Keys.V2_RUN_RECORD_PREFIX + String.format(Locale.ROOT, "run-%06d/0", job),
                    record);
        }
        ClusterVersion active = ClusterVersion.INITIAL.activated(2, List.of());
        store.put(Keys.V2_LEADER, new FixedLeader(store).leaderKeyValue());
        store.put(Keys.ROLLOUT_VERSION, active.rollingBack().toJson());
        Settings settings = RegionSettings.of(0, 1, new Settings.StoreLimits(150, 50, 8, 40));
        Rollout rollout = new Rollout(loop, settings, store, Release.CURRENT);
        rollout.attach(new FixedLeader(store), id -> null);
        rollout.onKeyChanged(
                Keys.ROLLOUT_VERSION,
                store.get(Keys.ROLLOUT_VERSION),
                store.modRevision(Keys.ROLLOUT_VERSION));
        int transactions = store.transactions;
        int mutations = store.mutations;
        while (store.get(Keys.ROLLOUT_VERSION).path("highest").asInt() > 1) {
            loop.run(loop.now() + 0.1);
            rollout.tick();
        }
        System.out.printf(
                "rollback of %d records: %.0f s at 50 mutations/s, %d transactions, %d mutations%n",
                RECORDS,
                loop.now(),
                store.transactions - transactions,
                store.mutations - mutations);
        System.out.printf(
                "a record of %d tasks: %d bytes compact, %d in the version 1 format%n",
                TASKS_PER_RECORD,
                Json.write(record).length,
                Json.write(TaskState.encode(taskStates())).length);
    }

    private static List<TaskState> taskStates() {
        List<TaskState> taskStates = new ArrayList<>();
        for (int task = 0; task < TASKS_PER_RECORD; task++) {
            boolean done = task < TASKS_PER_RECORD / 2;
            taskStates.add(
                    new TaskState(
                            task,
                            1,
                            done ? Phase.DONE : Phase.LIVE,
                            done ? "" : "host-" + (100_000 + task / 4),
                            done ? 0 : 1));
        }
        return taskStates;
    }

    /** Refusals and latency of submissions every 50 ms while an operator's command is executed. */
    private static void measureSubmissionsAround(Command command) {
        SimulatedRegion region = SimulatedRegion.beforeRollout(2, Version.ROLLOUT);
        Scenario scenario = Scenario.jobs(1, 1);
        if (command == Command.ROLLBACK) {
            scenario = scenario.at(10, new OperatorCommand(Command.ACTIVATE, 5));
        }
        region.schedule(scenario.at(20, new OperatorCommand(command, 5)));
        int[] refused = new int[2];
        double[] longestS = new double[2];
        for (int i = 0; i < 200; i++) {
            int number = 500_000 + i;
            double sentAt = 15 + 0.05 * i;
            int half = sentAt < 20 ? 0 : 1;
            region.world.at(
                    sentAt,
                    () ->
                            region.directRequests.submitAt(
                                    number % 5,
                                    number,
                                    reply -> {
                                        refused[half] += reply.status() == 201 ? 0 : 1;
                                        double latencyS = region.world.now() - sentAt;
                                        longestS[half] = Math.max(longestS[half], latencyS);
                                    }));
        }
        region.world.run(40);
        System.out.printf(
                "%s: of 100 submissions in 5 s before and after, %d and %d refused, longest %.3f s and %.3f s%n",
                command, refused[0], refused[1], longestS[0], longestS[1]);
    }

    /** Task starts and writes for the same job arrays under either version. */
    private static void measureTaskStarts(boolean compact) {
        SimulatedRegion region = SimulatedRegion.beforeRollout(1, Version.ROLLOUT);
        Scenario scenario = Scenario.jobs(1, 1);
        if (compact) {
            scenario = scenario.at(10, new OperatorCommand(Command.ACTIVATE, 10));
        }
        scenario = scenario.at(20, new LargeArrays(ARRAY_JOBS, TASKS_PER_ARRAY, 20));
        region.schedule(scenario);
        region.world.run(19);
        int mutations = region.storedMutations();
        long bytes = region.bytesWritten();
        region.world.run(400);
        System.out.printf(
                "%s format: %d task starts, %d mutations, %d bytes of values%n",
                compact ? "compact" : "version 1",
                region.taskStarts(),
                region.storedMutations() - mutations,
                region.bytesWritten() - bytes);
    }
}
