package io.pepperfield.forms;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.cloud.Cloud;
import io.pepperfield.cloud.HttpCloud;
import io.pepperfield.cloud.Renting;
import io.pepperfield.cloud.TypesRecord;
import io.pepperfield.config.Settings.Address;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobMessages;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.RunRecord;
import io.pepperfield.jobs.RunRecord.State;
import io.pepperfield.jobs.SharedRecords;
import io.pepperfield.jobs.Status;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.standin.SilentCloud;
import io.pepperfield.standin.SilentStateService;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.steering.Pool;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.StateService.Guard;
import io.pepperfield.store.Sync;
import io.pepperfield.store.TransactionLimits;
import io.pepperfield.store.Writer;
import java.lang.reflect.Field;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.OptionalLong;
import java.util.TreeSet;
import java.util.function.Consumer;

/** The keys of the state service, and the values of the first stored-state version. */
final class StoredForms {

    private static final String JOB_ID = "run-000412";
    private static final long DONE_MS = 1_790_000_000_123L;
    private static final RunRecord LIVE = new RunRecord(0, 1, State.LIVE, "host-000012", 3);
    private static final List<RunRecord> LINES =
            List.of(
                    LIVE,
                    new RunRecord(1, 2, State.DONE, "", 0),
                    new RunRecord(2, 1, State.GONE, "", 0),
                    new RunRecord(3, 4, State.FAILED, "", 0));

    private StoredForms() {}

    /** The constants by their values alone, since their names may change. */
    static void writeKeys(FormFile file) throws IllegalAccessException {
        TreeSet<String> names = new TreeSet<>();
        for (Field field : Keys.class.getFields()) {
            if (field.getType() == String.class) {
                names.add((String) field.get(null));
            }
        }
        names.forEach(name -> file.add("name", name));
        file.add("run record", Keys.run(JOB_ID, 3));
        JobSpec spec = new JobSpecBuilder().id(JOB_ID).tasks(25).chunk(10).build();
        file.add("part of a run record", spec.partKey(1, 2));
        file.add("shared run records", new SharedRecords(41, 64).keyOf(small(), false));
    }

    private static Job small() {
        return new Job(new JobSpecBuilder().id(JOB_ID).chunk(64).build(), 0);
    }

    static void write(FormFile file) {
        file.addRewrittenByField("job", JobMessages.durable(fullJob()), StoredForms::rewriteJob);
        file.addRewritten(
                "job of defaults",
                JobMessages.durable(new JobSpecBuilder().id(JOB_ID).build()),
                StoredForms::rewriteJob);
        for (JobSpec.Shape shape : JobSpec.Shape.values()) {
            JobSpec job = new JobSpecBuilder().id(JOB_ID).shape(shape).build();
            file.addRewritten("shape", JobMessages.durable(job), StoredForms::rewriteJob);
        }
        for (JobSpec.Rank rank : JobSpec.Rank.values()) {
            JobSpec job = new JobSpecBuilder().id(JOB_ID).rank(rank).build();
            file.addRewritten("rank", JobMessages.durable(job), StoredForms::rewriteJob);
        }
        file.addRewritten("run record", RunRecord.write(LINES), StoredForms::rewriteRunRecord);
        writeSharedRecords(file);
        for (Status end : List.of(Status.DONE, Status.CANCELLED)) {
            file.addRewritten("end", JobMessages.durableEnd(end), StoredForms::rewriteEnd);
        }
        file.addRewrittenByField("end", JobMessages.durableDone(DONE_MS), StoredForms::rewriteEnd);
        file.addRewritten("types", TypesRecord.write(types()), StoredForms::rewriteTypes);
        JsonNode type = TypesRecord.write(types()).path(0);
        file.addRead("type", type, form -> rewriteTypes(Json.array().add(form)));
        file.addRead("leader", FormFile.json("leader.json"), StoredForms::leaderOf);
        writeRentals(file);
        file.addRead("rental", FormFile.json("rental.json"), form -> restored(file, form));
        file.addRead("asked", FormFile.json("rental-asked.json"), form -> restored(file, form));
    }

    static List<MachineType> types() {
        return List.of(
                new MachineType(
                        "lekker-big", 16, 2, 64, 120, 1.5, 0.69, 0.2, 25, List.of("east", "west")),
                new MachineType("lekker-small", 4, 0, 16, 60, 1, 0.19, 0.05, 20, List.of()));
    }

    static JobSpec fullJob() {
        return new JobSpec(
                JOB_ID,
                "recon",
                "desk",
                JobSpec.Shape.SERVICE,
                JobSpec.Rank.URGENT,
                60,
                4,
                1.5,
                10,
                "img-07",
                0.7,
                List.of("lekker-big", "lekker-small"),
                "west",
                true,
                true,
                true,
                18,
                30,
                2.5,
                90.0,
                1_764_648_000_000L,
                68,
                List.of("run-000001", "run-000002"));
    }

    private static String text(JsonNode form) {
        return new String(Json.write(form), StandardCharsets.UTF_8);
    }

    private static String rewriteJob(JsonNode form) {
        return text(JobMessages.durable(JobMessages.fromDurable(JOB_ID, form)));
    }

    private static String rewriteRunRecord(JsonNode form) {
        return text(RunRecord.write(RunRecord.read(form)));
    }

    private static String rewriteTypes(JsonNode form) {
        return text(TypesRecord.write(TypesRecord.read(form)));
    }

    private static String rewriteEnd(JsonNode form) {
        OptionalLong doneMs = JobMessages.doneMs(form);
        return text(
                doneMs.isPresent()
                        ? JobMessages.durableDone(doneMs.getAsLong())
                        : JobMessages.durableEnd(JobMessages.end(form)));
    }

    /** Who leads under the key, and what a newcomer writes once the key is gone. */
    private static String leaderOf(JsonNode form) {
        StringBuilder told = new StringBuilder();
        SilentStateService state =
                new SilentStateService() {
                    @Override
                    public void grant(double ttlS, Consumer<GrantResult> done) {
                        done.accept(new GrantResult(7, false));
                    }

                    @Override
                    public void txn(
                            Urgency urgency,
                            List<Guard> guards,
                            List<Change> changes,
                            Consumer<TxnResult> done) {
                        changes.forEach(
                                change ->
                                        told.append(", then ")
                                                .append(change.key())
                                                .append(" = ")
                                                .append(change.data())
                                                .append(" under ")
                                                .append(change.grant()));
                    }
                };
        Leadership leadership = new Leadership(new SimulatedLoop(), state, "worker-2", 1, null);
        leadership.leaderKey(form, 41);
        told.append("led by ").append(leadership.leader());
        told.append(" with ").append(leadership.leaderToken());
        leadership.leaderKey(null, 42);
        return told.toString();
    }

    /** Read by the index of jobs, see the tests of the production version's values. */
    private static void writeSharedRecords(FormFile file) {
        SharedRecords records = new SharedRecords(41, 64);
        String key = records.keyOf(small(), false);
        records.content(key, job -> LINES).forEach(file::add);
        records.over(JOB_ID);
        records.content(key, job -> LINES).forEach(file::add);
    }

    /** A rental before and after the cloud's answer, and what the next leader asks for. */
    private static void writeRentals(FormFile file) {
        SimulatedLoop loop = new SimulatedLoop();
        SilentStateService state =
                new SilentStateService() {
                    @Override
                    public void txn(
                            Urgency urgency,
                            List<Guard> guards,
                            List<Change> changes,
                            Consumer<TxnResult> done) {
                        changes.forEach(change -> file.add(change.key(), change.data()));
                        done.accept(new TxnResult.Committed(42));
                    }
                };
        Cloud cloud =
                new SilentCloud() {
                    @Override
                    public void rent(
                            String request,
                            String type,
                            String zone,
                            boolean spot,
                            int count,
                            Consumer<Rented> done) {
                        done.accept(new Rented.Machines(List.of("host-000012", "host-000013")));
                    }
                };
        Replica replica = new Replica((key, data, stamp) -> {});
        Writer writer =
                new Writer(
                        loop,
                        state,
                        replica,
                        new Sync(loop, state, replica, 1, 1),
                        new SureLead(),
                        TransactionLimits.all(8),
                        1,
                        2);
        Renting renting =
                new Renting(loop, cloud, writer, new Fleet(null, 41, 1), 41, 1, 1, () -> true);
        renting.rent(new Pool("lekker-big", true), "west", 2);
        writer.flush();
        loop.run(10);
        writer.flush();
    }

    private static String restored(FormFile file, JsonNode form) {
        SimulatedLoop loop = new SimulatedLoop();
        RecordingSender sender = new RecordingSender(file);
        HttpCloud cloud = new HttpCloud(loop, sender, new Address("10.2.0.2", 8443), 2);
        Fleet fleet = new Fleet(null, 42, 1);
        new Renting(loop, cloud, null, fleet, 42, 1, 1, () -> true).restore("p41-1", form);
        StringBuilder expected = new StringBuilder("expects");
        fleet.machines()
                .forEach(
                        machine ->
                                expected.append(" ")
                                        .append(machine.name)
                                        .append(" of ")
                                        .append(machine.pool())
                                        .append(" in ")
                                        .append(machine.zone())
                                        .append(" since ")
                                        .append(machine.rentedAt()));
        return expected.toString();
    }

    /** A leader whose writes nothing hinders. */
    private static final class SureLead implements Writer.Lead {
        @Override
        public boolean confirmed() {
            return true;
        }

        @Override
        public Guard guard() {
            return new Guard(Keys.LEADER, 41);
        }
    }
}
