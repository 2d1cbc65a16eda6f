package io.pepperfield.forms;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.capacity.InstancePool;
import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.cloud.HttpCloudProvider;
import io.pepperfield.cloud.InstanceLifecycle;
import io.pepperfield.cloud.MachineTypesCodec;
import io.pepperfield.config.Settings.Address;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.http.Json;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobCodec;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.SharedRunRecords;
import io.pepperfield.jobs.Status;
import io.pepperfield.jobs.TaskState;
import io.pepperfield.jobs.TaskState.Phase;
import io.pepperfield.leadership.Leadership;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.standin.NoOpCloud;
import io.pepperfield.standin.NoOpKeyValueStore;
import io.pepperfield.standin.SimulatedLoop;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.Keys;
import io.pepperfield.store.Replica;
import io.pepperfield.store.ReplicaSynchronizer;
import io.pepperfield.store.TransactionLimits;
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
    private static final TaskState LIVE = new TaskState(0, 1, Phase.LIVE, "host-000012", 3);
    private static final List<TaskState> LINES =
            List.of(
                    LIVE,
                    new TaskState(1, 2, Phase.DONE, "", 0),
                    new TaskState(2, 1, Phase.GONE, "", 0),
                    new TaskState(3, 4, Phase.FAILED, "", 0));

    private StoredForms() {}

    /** The constants by their values alone, since their names may change. */
    static void writeKeys(GoldenFile file) throws IllegalAccessException {
        TreeSet<String> names = new TreeSet<>();
        for (Field field : Keys.class.getFields()) {
            if (field.getType() == String.class) {
                names.add((String) field.get(null));
            }
        }
        names.forEach(name -> file.add("name", name));
        file.add("run record", Keys.runRecord(JOB_ID, 3));
        JobSpec spec = new JobSpecBuilder().id(JOB_ID).tasks(25).chunk(10).build();
        file.add("part of a run record", spec.splitRecordKey(1, 2));
        file.add(
                "shared run records",
                new SharedRunRecords(new FencingToken(41), 64)
                        .recordKeyFor(small(), false)
                        .orElseThrow());
    }

    private static Job small() {
        return new Job(new JobSpecBuilder().id(JOB_ID).chunk(64).build(), 0);
    }

    static void write(GoldenFile file) {
        file.addRoundTripWithFieldMutations(
                "job", JobCodec.encodeSpec(fullJob()), StoredForms::rewriteJob);
        file.addRoundTrip(
                "job of defaults",
                JobCodec.encodeSpec(new JobSpecBuilder().id(JOB_ID).build()),
                StoredForms::rewriteJob);
        for (JobSpec.Shape shape : JobSpec.Shape.values()) {
            JobSpec job = new JobSpecBuilder().id(JOB_ID).shape(shape).build();
            file.addRoundTrip("shape", JobCodec.encodeSpec(job), StoredForms::rewriteJob);
        }
        for (JobSpec.Priority rank : JobSpec.Priority.values()) {
            JobSpec job = new JobSpecBuilder().id(JOB_ID).rank(rank).build();
            file.addRoundTrip("rank", JobCodec.encodeSpec(job), StoredForms::rewriteJob);
        }
        file.addRoundTrip("run record", TaskState.encode(LINES), StoredForms::rewriteRunRecord);
        writeSharedRecords(file);
        for (Status end : List.of(Status.DONE, Status.CANCELLED)) {
            file.addRoundTrip("end", JobCodec.encodeFinalStatus(end), StoredForms::rewriteEnd);
        }
        file.addRoundTripWithFieldMutations(
                "end", JobCodec.encodeDone(DONE_MS), StoredForms::rewriteEnd);
        file.addRoundTrip(
                "types", MachineTypesCodec.encode(machineTypes()), StoredForms::rewriteTypes);
        JsonNode type = MachineTypesCodec.encode(machineTypes()).path(0);
        file.addWithFieldMutations("type", type, form -> rewriteTypes(Json.array().add(form)));
        file.addWithFieldMutations(
                "leader", GoldenFile.readJsonInput("leader.json"), StoredForms::leaderOf);
        writeRentals(file);
        file.addWithFieldMutations(
                "rental", GoldenFile.readJsonInput("rental.json"), form -> restored(file, form));
        file.addWithFieldMutations(
                "asked",
                GoldenFile.readJsonInput("rental-asked.json"),
                form -> restored(file, form));
    }

    static List<MachineType> machineTypes() {
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
                JobSpec.Priority.URGENT,
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
        return text(JobCodec.encodeSpec(JobCodec.decodeSpec(JOB_ID, form)));
    }

    private static String rewriteRunRecord(JsonNode form) {
        return text(TaskState.encode(TaskState.decode(form)));
    }

    private static String rewriteTypes(JsonNode form) {
        return text(MachineTypesCodec.encode(MachineTypesCodec.decode(form)));
    }

    private static String rewriteEnd(JsonNode form) {
        OptionalLong doneMs = JobCodec.decodeDoneMs(form);
        return text(
                doneMs.isPresent()
                        ? JobCodec.encodeDone(doneMs.getAsLong())
                        : JobCodec.encodeFinalStatus(JobCodec.decodeFinalStatus(form)));
    }

    /** Who leads under the key, and what a newcomer writes once the key is gone. */
    private static String leaderOf(JsonNode form) {
        StringBuilder told = new StringBuilder();
        NoOpKeyValueStore state =
                new NoOpKeyValueStore() {
                    @Override
                    public void createGrant(double ttlS, Consumer<GrantOutcome> done) {
                        done.accept(new GrantOutcome.Granted(7));
                    }

                    @Override
                    public void compareAndSwap(
                            RequestPriority urgency,
                            List<Precondition> guards,
                            List<Mutation> changes,
                            Consumer<CompareAndSwapOutcome> done) {
                        changes.forEach(
                                change ->
                                        told.append(", then ")
                                                .append(change.key())
                                                .append(" = ")
                                                .append(change.value())
                                                .append(" under ")
                                                .append(change.grant()));
                    }
                };
        Leadership leadership = new Leadership(new SimulatedLoop(), state, "worker-2", 1, null);
        leadership.leaderKeyChanged(form, 41);
        told.append("led by ").append(leadership.leaderNode());
        told.append(" with ").append(leadership.highestFencingToken());
        leadership.leaderKeyChanged(null, 42);
        return told.toString();
    }

    /** Read by the index of jobs, see the tests of the production version's values. */
    private static void writeSharedRecords(GoldenFile file) {
        SharedRunRecords records = new SharedRunRecords(new FencingToken(41), 64);
        String key = records.recordKeyFor(small(), false).orElseThrow();
        records.encodeRecord(key, job -> LINES).forEach(file::add);
        records.remove(JOB_ID);
        records.encodeRecord(key, job -> LINES).forEach(file::add);
    }

    /** A rental before and after the cloud's answer, and what the next leader asks for. */
    private static void writeRentals(GoldenFile file) {
        SimulatedLoop loop = new SimulatedLoop();
        NoOpKeyValueStore state =
                new NoOpKeyValueStore() {
                    @Override
                    public void compareAndSwap(
                            RequestPriority urgency,
                            List<Precondition> guards,
                            List<Mutation> changes,
                            Consumer<CompareAndSwapOutcome> done) {
                        changes.forEach(change -> file.add(change.key(), change.value()));
                        done.accept(new CompareAndSwapOutcome.Committed(42));
                    }
                };
        CloudProvider cloud =
                new NoOpCloud() {
                    @Override
                    public void rentInstances(
                            String request,
                            String type,
                            String zone,
                            boolean spot,
                            int count,
                            Consumer<RentalOutcome> done) {
                        done.accept(
                                new RentalOutcome.Granted(List.of("host-000012", "host-000013")));
                    }
                };
        Replica replica = new Replica((key, data, stamp) -> {});
        FencedWriter writer =
                new FencedWriter(
                        loop,
                        state,
                        replica,
                        new ReplicaSynchronizer(loop, state, replica, 1, 1),
                        new SureLead(),
                        TransactionLimits.serviceMaximum(8),
                        1,
                        2);
        InstanceLifecycle renting =
                new InstanceLifecycle(
                        loop,
                        cloud,
                        writer,
                        new Fleet(null, new FencingToken(41), 1),
                        new FencingToken(41),
                        1,
                        1,
                        () -> true);
        renting.rent(new InstancePool("lekker-big", true), "west", 2);
        writer.flush();
        loop.run(10);
        writer.flush();
    }

    private static String restored(GoldenFile file, JsonNode form) {
        SimulatedLoop loop = new SimulatedLoop();
        RecordingSender sender = new RecordingSender(file);
        HttpCloudProvider cloud =
                new HttpCloudProvider(loop, sender, new Address("10.2.0.2", 8443), 2);
        Fleet fleet = new Fleet(null, new FencingToken(42), 1);
        new InstanceLifecycle(loop, cloud, null, fleet, new FencingToken(42), 1, 1, () -> true)
                .restore("p41-1", form);
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
    private static final class SureLead implements FencedWriter.Fence {
        @Override
        public boolean holdsValidLease() {
            return true;
        }

        @Override
        public Precondition fencingPrecondition() {
            return new Precondition(Keys.LEADER, 41);
        }
    }
}
