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

/** The keys in the state service, and the values of the first stored-state version. */
final class StoredForms {

    private static final String JOB_ID = "run-000412";
    private static final long DONE_MS = 1_790_000_000_123L;
    private static final TaskState LIVE_TASK = new TaskState(0, 1, Phase.LIVE, "host-000012", 3);
    private static final List<TaskState> TASK_STATES =
            List.of(
                    LIVE_TASK,
                    new TaskState(1, 2, Phase.DONE, "", 0),
                    new TaskState(2, 1, Phase.GONE, "", 0),
                    new TaskState(3, 4, Phase.FAILED, "", 0));

    private StoredForms() {}

    /** Adds the keys; constants are listed by value only because their names may change. */
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
                        .recordKeyFor(smallJob(), false)
                        .orElseThrow());
    }

    private static Job smallJob() {
        return new Job(new JobSpecBuilder().id(JOB_ID).chunk(64).build(), 0);
    }

    static void write(GoldenFile file) {
        file.addRoundTripWithFieldMutations(
                "job", JobCodec.encodeSpec(fullJob()), StoredForms::reencodeJob);
        file.addRoundTrip(
                "job of defaults",
                JobCodec.encodeSpec(new JobSpecBuilder().id(JOB_ID).build()),
                StoredForms::reencodeJob);
        for (JobSpec.Shape shape : JobSpec.Shape.values()) {
            JobSpec job = new JobSpecBuilder().id(JOB_ID).shape(shape).build();
            file.addRoundTrip("shape", JobCodec.encodeSpec(job), StoredForms::reencodeJob);
        }
        for (JobSpec.Priority priority : JobSpec.Priority.values()) {
            JobSpec job = new JobSpecBuilder().id(JOB_ID).rank(priority).build();
            file.addRoundTrip("rank", JobCodec.encodeSpec(job), StoredForms::reencodeJob);
        }
        file.addRoundTrip(
                "run record", TaskState.encode(TASK_STATES), StoredForms::reencodeRunRecord);
        writeSharedRecords(file);
        for (Status status : List.of(Status.DONE, Status.CANCELLED)) {
            file.addRoundTrip(
                    "end", JobCodec.encodeFinalStatus(status), StoredForms::reencodeFinalStatus);
        }
        file.addRoundTripWithFieldMutations(
                "end", JobCodec.encodeDone(DONE_MS), StoredForms::reencodeFinalStatus);
        file.addRoundTrip(
                "types",
                MachineTypesCodec.encode(machineTypes()),
                StoredForms::reencodeMachineTypes);
        JsonNode type = MachineTypesCodec.encode(machineTypes()).path(0);
        file.addWithFieldMutations(
                "type", type, form -> reencodeMachineTypes(Json.array().add(form)));
        file.addWithFieldMutations(
                "leader", GoldenFile.readJsonInput("leader.json"), StoredForms::describeLeader);
        writeRentals(file);
        file.addWithFieldMutations(
                "rental",
                GoldenFile.readJsonInput("rental.json"),
                form -> describeRestored(file, form));
        file.addWithFieldMutations(
                "asked",
                GoldenFile.readJsonInput("rental-asked.json"),
                form -> describeRestored(file, form));
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

    private static String reencodeJob(JsonNode form) {
        return text(JobCodec.encodeSpec(JobCodec.decodeSpec(JOB_ID, form)));
    }

    private static String reencodeRunRecord(JsonNode form) {
        return text(TaskState.encode(TaskState.decode(form)));
    }

    private static String reencodeMachineTypes(JsonNode form) {
        return text(MachineTypesCodec.encode(MachineTypesCodec.decode(form)));
    }

    private static String reencodeFinalStatus(JsonNode form) {
        OptionalLong doneMs = JobCodec.decodeDoneMs(form);
        return text(
                doneMs.isPresent()
                        ? JobCodec.encodeDone(doneMs.getAsLong())
                        : JobCodec.encodeFinalStatus(JobCodec.decodeFinalStatus(form)));
    }

    /**
     * Describes the leader that the leader key names, and the writes of a new candidate after the
     * key has been deleted.
     */
    private static String describeLeader(JsonNode form) {
        StringBuilder description = new StringBuilder();
        NoOpKeyValueStore store =
                new NoOpKeyValueStore() {
                    @Override
                    public void createGrant(double ttlS, Consumer<GrantOutcome> done) {
                        done.accept(new GrantOutcome.Granted(7));
                    }

                    @Override
                    public void compareAndSwap(
                            RequestPriority priority,
                            List<Precondition> preconditions,
                            List<Mutation> mutations,
                            Consumer<CompareAndSwapOutcome> done) {
                        mutations.forEach(
                                mutation ->
                                        description
                                                .append(", then ")
                                                .append(mutation.key())
                                                .append(" = ")
                                                .append(mutation.value())
                                                .append(" under ")
                                                .append(mutation.grant()));
                    }
                };
        Leadership leadership = new Leadership(new SimulatedLoop(), store, "worker-2", 1, null);
        leadership.leaderKeyChanged(form, 41);
        description.append("led by ").append(leadership.leaderNode());
        description.append(" with ").append(leadership.highestFencingToken());
        leadership.leaderKeyChanged(null, 42);
        return description.toString();
    }

    /**
     * Adds shared run records before and after the removal of a job. The job index decodes them,
     * which the tests of the values of the production version cover.
     */
    private static void writeSharedRecords(GoldenFile file) {
        SharedRunRecords records = new SharedRunRecords(new FencingToken(41), 64);
        String key = records.recordKeyFor(smallJob(), false).orElseThrow();
        records.encodeRecord(key, job -> TASK_STATES).forEach(file::add);
        records.remove(JOB_ID);
        records.encodeRecord(key, job -> TASK_STATES).forEach(file::add);
    }

    /** Adds the stored records of a rental before and after the reply of the cloud. */
    private static void writeRentals(GoldenFile file) {
        SimulatedLoop loop = new SimulatedLoop();
        NoOpKeyValueStore store =
                new NoOpKeyValueStore() {
                    @Override
                    public void compareAndSwap(
                            RequestPriority priority,
                            List<Precondition> preconditions,
                            List<Mutation> mutations,
                            Consumer<CompareAndSwapOutcome> done) {
                        mutations.forEach(mutation -> file.add(mutation.key(), mutation.value()));
                        done.accept(new CompareAndSwapOutcome.Committed(42));
                    }
                };
        CloudProvider cloud =
                new NoOpCloud() {
                    @Override
                    public void rentInstances(
                            String requestId,
                            String type,
                            String zone,
                            boolean spot,
                            int count,
                            Consumer<RentalOutcome> done) {
                        done.accept(
                                new RentalOutcome.Granted(List.of("host-000012", "host-000013")));
                    }
                };
        Replica replica = new Replica((key, value, modRevision) -> {});
        FencedWriter writer =
                new FencedWriter(
                        loop,
                        store,
                        replica,
                        new ReplicaSynchronizer(loop, store, replica, 1, 1),
                        new ValidFence(),
                        TransactionLimits.serviceMaximum(8),
                        1,
                        2);
        InstanceLifecycle lifecycle =
                new InstanceLifecycle(
                        loop,
                        cloud,
                        writer,
                        new Fleet(null, new FencingToken(41), 1),
                        new FencingToken(41),
                        1,
                        1,
                        () -> true);
        lifecycle.rent(new InstancePool("lekker-big", true), "west", 2);
        writer.flush();
        loop.run(10);
        writer.flush();
    }

    /**
     * Describes the instances that a new leader expects after restoring a rental; the requests that
     * it sends to the cloud are added to the file.
     */
    private static String describeRestored(GoldenFile file, JsonNode form) {
        SimulatedLoop loop = new SimulatedLoop();
        RecordingSender sender = new RecordingSender(file);
        HttpCloudProvider cloud =
                new HttpCloudProvider(loop, sender, new Address("10.2.0.2", 8443), 2);
        Fleet fleet = new Fleet(null, new FencingToken(42), 1);
        new InstanceLifecycle(loop, cloud, null, fleet, new FencingToken(42), 1, 1, () -> true)
                .restore("p41-1", form);
        StringBuilder description = new StringBuilder("expects");
        fleet.machines()
                .forEach(
                        machine ->
                                description
                                        .append(" ")
                                        .append(machine.name)
                                        .append(" of ")
                                        .append(machine.pool())
                                        .append(" in ")
                                        .append(machine.zone())
                                        .append(" since ")
                                        .append(machine.rentedAt()));
        return description.toString();
    }

    /** The fence of a leader with a permanently valid lease. */
    private static final class ValidFence implements FencedWriter.Fence {
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
