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
 * What is rented where: boxes of 8 CPUs in the east and the west, a team with a limit of 24 CPUs.
 */
class AutoscalerTest implements Loop, NoOpFleetListener, FencedWriter.Fence, NoOpCloud {

    private final Settings settings =
            SingleNodeSettings.of(
                    List.of("east", "west"),
                    Map.of("red", new Settings.Team("red", 8, 24, 0, 0)),
                    List.of());
    private final RecordingKeyValueStore state = new RecordingKeyValueStore();
    private final Replica replica = new Replica((key, data, stamp) -> {});
    private final FencedWriter writer =
            new FencedWriter(
                    state,
                    state,
                    replica,
                    new ReplicaSynchronizer(state, state, replica, 1, 1),
                    this,
                    TransactionLimits.serviceMaximum(32),
                    1,
                    2);
    private final Fleet fleet = new Fleet(this, new FencingToken(10), 3);
    private final InstanceLifecycle renting =
            new InstanceLifecycle(
                    this, this, writer, fleet, new FencingToken(10), 1, 60, () -> true);
    private final MachineTypes types = new MachineTypes(settings);
    private final LiveAttempts ledger = new LiveAttempts();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Autoscaler autoscaler =
            new Autoscaler(
                    new ClusterState(
                            this,
                            settings,
                            new Objectives(List.of()),
                            types,
                            fleet,
                            ledger,
                            jobs,
                            renting,
                            new BootTracker(types, 60),
                            new LatencyHistograms()));
    private final List<String> rented = new ArrayList<>();
    private final Map<String, Integer> serials = new HashMap<>();
    private double now = 1;
    private Consumer<RentalOutcome> answer;

    AutoscalerTest() {
        types.update(
                List.of(
                        new MachineType(
                                "box", 8, 0, 32, 20, 1, 1, 0.4, 5, List.of("east", "west"))));
    }

    private Job job(Shape shape, int tasks, String zone, boolean together, boolean spread) {
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
                                .oneZone(together)
                                .spread(spread)
                                .expectedS(90)
                                .build(),
                        0);
        jobs.put(job.spec.id(), job);
        return job;
    }

    private Machine up(String name, String zone, Heartbeat.AttemptStatus... lines) {
        fleet.addExpectedMachine(name, "box", zone, false, 0, 0);
        fleet.handleHeartbeat(
                new Heartbeat(
                        name,
                        "a:1",
                        "box",
                        zone,
                        false,
                        1,
                        serials.merge(name, 1, Integer::sum),
                        new FencingToken(10),
                        null,
                        List.of(lines)),
                now);
        return fleet.getMachine(name);
    }

    private void runs(Job job, int task, String machine, String zone) {
        Attempt attempt =
                fleet.addIntendedAttempt(job, task, job.startAttempt(task), up(machine, zone), now);
        ledger.add(attempt);
        fleet.markIntentDurable(attempt);
        up(
                machine,
                zone,
                new Heartbeat.AttemptStatus(
                        new TaskRef(job.spec.id(), task),
                        1,
                        Heartbeat.State.RUNNING,
                        Heartbeat.Cause.NONE));
    }

    /** Some steps in half a unit, in which all machines report; what was asked for in them. */
    private List<String> steer() {
        List<String> before = List.copyOf(rented);
        for (double until = now + 30; now < until; now += 0.5) {
            fleet.machines().stream()
                    .filter(Machine::ready)
                    .forEach(machine -> up(machine.name, machine.zone(), lines(machine)));
            autoscaler.tick(now);
            writer.flush();
            for (Consumer<KeyValueStore.CompareAndSwapOutcome> done;
                    (done = state.pendingCallback) != null; ) {
                state.pendingCallback = null;
                done.accept(
                        new KeyValueStore.CompareAndSwapOutcome.Committed(
                                state.writtenKeys.size()));
            }
        }
        return rented.subList(before.size(), rented.size());
    }

    private static Heartbeat.AttemptStatus[] lines(Machine machine) {
        return machine.attempts().stream()
                .map(
                        a ->
                                new Heartbeat.AttemptStatus(
                                        a.taskRef,
                                        a.number,
                                        Heartbeat.State.RUNNING,
                                        Heartbeat.Cause.NONE))
                .toArray(Heartbeat.AttemptStatus[]::new);
    }

    @Test
    void aJobBoundToAZoneIsNotLeftToIdleMachinesOfAnother() {
        up("m1", "west");
        up("m2", "west");
        job(Shape.ARRAY, 1, "east", false, false);
        assertEquals(List.of("1 in east"), steer(), "once, as it is under way");
    }

    @Test
    void whatIsComingThereCountsAndWhatNeverComesIsReplaced() {
        up("m1", "west");
        job(Shape.ARRAY, 1, "east", false, false);
        fleet.addExpectedMachine("m2", "box", "east", false, now, now);
        now += 5;
        autoscaler.tick(now);
        assertEquals(List.of(), rented);
        assertEquals(List.of("1 in east"), steer());
    }

    @Test
    void anArrayThatMustStayTogetherIsFollowedToItsZone() {
        Job array = job(Shape.ARRAY, 2, null, true, false);
        runs(array, 0, "m1", "east");
        up("m2", "west");
        assertEquals(List.of("1 in east"), steer());
    }

    @Test
    void aGangThatMustStayTogetherIsCompletedInTheZoneThatLacksLeast() {
        job(Shape.GANG, 3, null, true, false);
        up("m1", "east");
        up("m2", "west");
        up("m3", "west");
        assertEquals(List.of("1 in west"), steer());
    }

    @Test
    void replicasThatMayOnlyGoToTheOtherZoneGetAMachineThere() {
        Job service = job(Shape.SERVICE, 2, null, false, true);
        runs(service, 0, "m1", "east");
        up("m2", "east");
        assertEquals(List.of("1 in west"), steer());
    }

    @Test
    void replicasThatMayStillGoToEitherZoneRentNothingBesideTheCount() {
        job(Shape.SERVICE, 2, null, false, true);
        up("m1", "east");
        up("m2", "east");
        assertEquals(List.of(), steer());
    }

    @Test
    void aZoneThatHasRefusedIsNotAskedAgainForAUnit() {
        up("m1", "west");
        job(Shape.ARRAY, 1, "east", false, false);
        assertEquals(List.of("1 in east"), steer());
        answer.accept(new RentalOutcome.NoCapacity());
        assertEquals(List.of(), steer());
        assertEquals(List.of(), steer());
        assertEquals(List.of("1 in east"), steer());
    }

    @Test
    void aTeamAtItsLimitGetsNoMachineThatItCouldNotUse() {
        Job first = job(Shape.ARRAY, 3, null, false, false);
        runs(first, 0, "m1", "west");
        runs(first, 1, "m2", "west");
        runs(first, 2, "m3", "west");
        up("m4", "west");
        job(Shape.ARRAY, 1, "east", false, false);
        assertEquals(List.of(), steer());
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
        rented.add(count + " in " + zone);
        answer = done;
    }
}
