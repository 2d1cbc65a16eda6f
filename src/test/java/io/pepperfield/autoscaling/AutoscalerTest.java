package io.pepperfield.autoscaling;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.cloud.InstanceLifecycle;
import io.pepperfield.cluster.BootTracker;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.cluster.LatencyHistograms;
import io.pepperfield.cluster.MachineTypes;
import io.pepperfield.config.Objectives;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.fleet.TaskRef;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec.Shape;
import io.pepperfield.loop.Loop;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.standin.NoOpCloud;
import io.pepperfield.standin.NoOpFleetListener;
import io.pepperfield.standin.RecordingKeyValueStore;
import io.pepperfield.standin.SingleNodeSettings;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.KeyValueStore;
import io.pepperfield.store.Replica;
import io.pepperfield.store.ReplicaSynchronizer;
import io.pepperfield.store.TransactionLimits;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Tests in which zones the autoscaler rents machines. Machines of type "box" have 8 CPUs and are
 * offered in the zones east and west; the team may use up to 24 CPUs.
 */
class AutoscalerTest implements Loop, NoOpFleetListener, FencedWriter.Fence, NoOpCloud {

    private final Settings settings =
            SingleNodeSettings.of(
                    List.of("east", "west"),
                    Map.of("red", new Settings.Team("red", 8, 24, 0, 0)),
                    List.of());
    private final RecordingKeyValueStore keyValueStore = new RecordingKeyValueStore();
    private final Replica replica = new Replica((key, data, stamp) -> {});
    private final FencedWriter writer =
            new FencedWriter(
                    keyValueStore,
                    keyValueStore,
                    replica,
                    new ReplicaSynchronizer(keyValueStore, keyValueStore, replica, 1, 1),
                    this,
                    TransactionLimits.serviceMaximum(32),
                    1,
                    2);
    private final Fleet fleet = new Fleet(this, new FencingToken(10), 3);
    private final InstanceLifecycle instanceLifecycle =
            new InstanceLifecycle(
                    this, this, writer, fleet, new FencingToken(10), 1, 60, () -> true);
    private final MachineTypes machineTypes = new MachineTypes(settings);
    private final LiveAttempts liveAttempts = new LiveAttempts();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Autoscaler autoscaler =
            new Autoscaler(
                    new ClusterState(
                            this,
                            settings,
                            new Objectives(List.of()),
                            machineTypes,
                            fleet,
                            liveAttempts,
                            jobs,
                            instanceLifecycle,
                            new BootTracker(machineTypes, 60),
                            new LatencyHistograms()));
    private final List<String> rentalRequests = new ArrayList<>();
    private final Map<String, Integer> heartbeatSerials = new HashMap<>();
    private double now = 1;
    private Consumer<RentalOutcome> rentalCallback;

    AutoscalerTest() {
        machineTypes.update(
                List.of(
                        new MachineType(
                                "box", 8, 0, 32, 20, 1, 1, 0.4, 5, List.of("east", "west"))));
    }

    private Job addJob(Shape shape, int tasks, String zone, boolean sameZone, boolean spread) {
        Job job =
                new Job(
                        new JobSpecBuilder()
                                .id("run-00000" + (jobs.size() + 1))
                                .workload("batch")
                                .team("red")
                                .shape(shape)
                                .tasks(tasks)
                                .cpus(8)
                                .image("img")
                                .zone(zone)
                                .oneZone(sameZone)
                                .spread(spread)
                                .expectedS(90)
                                .build(),
                        0);
        jobs.put(job.spec.id(), job);
        return job;
    }

    private Machine reportHeartbeat(String name, String zone, Heartbeat.AttemptStatus... statuses) {
        fleet.addExpectedMachine(name, "box", zone, false, 0, 0);
        fleet.handleHeartbeat(
                new Heartbeat(
                        name,
                        "a:1",
                        "box",
                        zone,
                        false,
                        1,
                        heartbeatSerials.merge(name, 1, Integer::sum),
                        new FencingToken(10),
                        null,
                        List.of(statuses)),
                now);
        return fleet.getMachine(name);
    }

    private void startAttempt(Job job, int task, String machine, String zone) {
        Attempt attempt =
                fleet.addIntendedAttempt(
                        job, task, job.startAttempt(task), reportHeartbeat(machine, zone), now);
        liveAttempts.add(attempt);
        fleet.markIntentDurable(attempt);
        reportHeartbeat(
                machine,
                zone,
                new Heartbeat.AttemptStatus(
                        new TaskRef(job.spec.id(), task),
                        1,
                        Heartbeat.State.RUNNING,
                        Heartbeat.Cause.NONE));
    }

    /**
     * Runs the autoscaler for half a billing unit while all ready machines send heartbeats; returns
     * the rental requests made during it.
     */
    private List<String> rentalsInHalfABillingUnit() {
        List<String> earlierRequests = List.copyOf(rentalRequests);
        for (double endAt = now + 30; now < endAt; now += 0.5) {
            fleet.machines().stream()
                    .filter(Machine::ready)
                    .forEach(
                            machine ->
                                    reportHeartbeat(
                                            machine.name,
                                            machine.zone(),
                                            runningStatuses(machine)));
            autoscaler.tick(now);
            writer.flush();
            for (Consumer<KeyValueStore.CompareAndSwapOutcome> callback;
                    (callback = keyValueStore.pendingCallback) != null; ) {
                keyValueStore.pendingCallback = null;
                callback.accept(
                        new KeyValueStore.CompareAndSwapOutcome.Committed(
                                keyValueStore.writtenKeys.size()));
            }
        }
        return rentalRequests.subList(earlierRequests.size(), rentalRequests.size());
    }

    private static Heartbeat.AttemptStatus[] runningStatuses(Machine machine) {
        return machine.attempts().stream()
                .map(
                        attempt ->
                                new Heartbeat.AttemptStatus(
                                        attempt.taskRef,
                                        attempt.number,
                                        Heartbeat.State.RUNNING,
                                        Heartbeat.Cause.NONE))
                .toArray(Heartbeat.AttemptStatus[]::new);
    }

    @Test
    void zoneBoundJobRentsInItsZoneDespiteIdleMachinesElsewhere() {
        reportHeartbeat("m1", "west");
        reportHeartbeat("m2", "west");
        addJob(Shape.ARRAY, 1, "east", false, false);
        assertEquals(
                List.of("1 in east"),
                rentalsInHalfABillingUnit(),
                "requested once while the rental is pending");
    }

    @Test
    void bootingMachineCountsAsCapacityAndIsReplacedWhenOverdue() {
        reportHeartbeat("m1", "west");
        addJob(Shape.ARRAY, 1, "east", false, false);
        fleet.addExpectedMachine("m2", "box", "east", false, now, now);
        now += 5;
        autoscaler.tick(now);
        assertEquals(List.of(), rentalRequests);
        assertEquals(List.of("1 in east"), rentalsInHalfABillingUnit());
    }

    @Test
    void sameZoneArrayRentsInTheZoneOfItsRunningTask() {
        Job array = addJob(Shape.ARRAY, 2, null, true, false);
        startAttempt(array, 0, "m1", "east");
        reportHeartbeat("m2", "west");
        assertEquals(List.of("1 in east"), rentalsInHalfABillingUnit());
    }

    @Test
    void sameZoneGangRentsInTheZoneWithTheSmallestShortage() {
        addJob(Shape.GANG, 3, null, true, false);
        reportHeartbeat("m1", "east");
        reportHeartbeat("m2", "west");
        reportHeartbeat("m3", "west");
        assertEquals(List.of("1 in west"), rentalsInHalfABillingUnit());
    }

    @Test
    void spreadReplicasRentInTheOnlyZoneStillAllowed() {
        Job service = addJob(Shape.SERVICE, 2, null, false, true);
        startAttempt(service, 0, "m1", "east");
        reportHeartbeat("m2", "east");
        assertEquals(List.of("1 in west"), rentalsInHalfABillingUnit());
    }

    @Test
    void spreadReplicasAllowedInBothZonesRentNoExtraMachines() {
        addJob(Shape.SERVICE, 2, null, false, true);
        reportHeartbeat("m1", "east");
        reportHeartbeat("m2", "east");
        assertEquals(List.of(), rentalsInHalfABillingUnit());
    }

    @Test
    void zoneWithoutCapacityIsNotRetriedForABillingUnit() {
        reportHeartbeat("m1", "west");
        addJob(Shape.ARRAY, 1, "east", false, false);
        assertEquals(List.of("1 in east"), rentalsInHalfABillingUnit());
        rentalCallback.accept(new RentalOutcome.NoCapacity());
        assertEquals(List.of(), rentalsInHalfABillingUnit());
        assertEquals(List.of(), rentalsInHalfABillingUnit());
        assertEquals(List.of("1 in east"), rentalsInHalfABillingUnit());
    }

    @Test
    void teamAtItsCpuLimitRentsNoMachines() {
        Job first = addJob(Shape.ARRAY, 3, null, false, false);
        startAttempt(first, 0, "m1", "west");
        startAttempt(first, 1, "m2", "west");
        startAttempt(first, 2, "m3", "west");
        reportHeartbeat("m4", "west");
        addJob(Shape.ARRAY, 1, "east", false, false);
        assertEquals(List.of(), rentalsInHalfABillingUnit());
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public long wallClockMs() {
        return 0;
    }

    @Override
    public void post(Runnable command) {
        command.run();
    }

    @Override
    public void schedule(double seconds, Runnable command) {}

    @Override
    public boolean holdsValidLease() {
        return true;
    }

    @Override
    public KeyValueStore.Precondition fencingPrecondition() {
        return new KeyValueStore.Precondition("leader", 1);
    }

    @Override
    public void rentInstances(
            String request,
            String type,
            String zone,
            boolean spot,
            int count,
            Consumer<RentalOutcome> done) {
        rentalRequests.add(count + " in " + zone);
        rentalCallback = done;
    }
}
