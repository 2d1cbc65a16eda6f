package io.pepperfield.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.pepperfield.cloud.Renting;
import io.pepperfield.config.Aims;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Ledger;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.fleet.Report;
import io.pepperfield.fleet.TaskRef;
import io.pepperfield.jobs.Job;
import io.pepperfield.jobs.JobSpec.Shape;
import io.pepperfield.loop.Loop;
import io.pepperfield.standin.JobSpecBuilder;
import io.pepperfield.standin.SilentCloud;
import io.pepperfield.standin.SilentFleetListener;
import io.pepperfield.standin.SingleNodeSettings;
import io.pepperfield.standin.Transactions;
import io.pepperfield.steering.Pool;
import io.pepperfield.store.Replica;
import io.pepperfield.store.StateService;
import io.pepperfield.store.Sync;
import io.pepperfield.store.TransactionLimits;
import io.pepperfield.store.Writer;
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
class SizerTest implements Loop, SilentFleetListener, Writer.Lead, SilentCloud {

    private static final Pool BOX = new Pool("box", false);

    private final Settings settings =
            SingleNodeSettings.of(
                    List.of("east", "west"),
                    Map.of("red", new Settings.Team("red", 8, 24, 0, 0)),
                    List.of());
    private final Transactions state = new Transactions();
    private final Replica replica = new Replica((key, data, stamp) -> {});
    private final Writer writer =
            new Writer(
                    state,
                    state,
                    replica,
                    new Sync(state, state, replica, 1, 1),
                    this,
                    TransactionLimits.all(32),
                    1,
                    2);
    private final Fleet fleet = new Fleet(this, 10, 3);
    private final Renting renting = new Renting(this, this, writer, fleet, 10, 1, 60, () -> true);
    private final MachineTypes types = new MachineTypes(settings);
    private final Ledger ledger = new Ledger();
    private final Map<String, Job> jobs = new LinkedHashMap<>();
    private final Sizer sizer =
            new Sizer(
                    new ClusterState(
                            this,
                            settings,
                            new Aims(List.of()),
                            types,
                            fleet,
                            ledger,
                            jobs,
                            renting,
                            new BootTracker(types, 60),
                            new Latencies()));
    private final List<String> rented = new ArrayList<>();
    private final Map<String, Integer> serials = new HashMap<>();
    private double now = 1;
    private Consumer<Rented> answer;

    SizerTest() {
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

    private Machine up(String name, String zone, Report.Line... lines) {
        fleet.expect(name, "box", zone, false, 0, 0);
        fleet.beat(
                new Report(
                        name,
                        "a:1",
                        "box",
                        zone,
                        false,
                        1,
                        serials.merge(name, 1, Integer::sum),
                        10,
                        null,
                        List.of(lines)),
                now);
        return fleet.get(name);
    }

    private void runs(Job job, int task, String machine, String zone) {
        Attempt attempt = fleet.intend(job, task, job.begin(task), up(machine, zone), now);
        ledger.add(attempt);
        fleet.ordered(attempt);
        up(
                machine,
                zone,
                new Report.Line(
                        new TaskRef(job.spec.id(), task),
                        1,
                        Report.State.RUNNING,
                        Report.Cause.NONE));
    }

    /** Some steps in half a unit, in which all machines report; what was asked for in them. */
    private List<String> steer() {
        List<String> before = List.copyOf(rented);
        for (double until = now + 30; now < until; now += 0.5) {
            fleet.machines().stream()
                    .filter(Machine::up)
                    .forEach(machine -> up(machine.name, machine.zone(), lines(machine)));
            sizer.tick(now);
            writer.flush();
            for (Consumer<StateService.TxnResult> done; (done = state.underWay) != null; ) {
                state.underWay = null;
                done.accept(new StateService.TxnResult.Committed(state.written.size()));
            }
        }
        return rented.subList(before.size(), rented.size());
    }

    private static Report.Line[] lines(Machine machine) {
        return machine.attempts().stream()
                .map(a -> new Report.Line(a.ref, a.number, Report.State.RUNNING, Report.Cause.NONE))
                .toArray(Report.Line[]::new);
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
        fleet.expect("m2", "box", "east", false, now, now);
        now += 5;
        sizer.tick(now);
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
        answer.accept(new Rented.NoCapacity());
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
    public long wallMs() {
        return 0;
    }

    @Override
    public void post(Runnable command) {
        command.run();
    }

    @Override
    public void after(double seconds, Runnable command) {}

    @Override
    public boolean confirmed() {
        return true;
    }

    @Override
    public StateService.Guard guard() {
        return new StateService.Guard("leader", 1);
    }

    @Override
    public void rent(
            String request,
            String type,
            String zone,
            boolean spot,
            int count,
            Consumer<Rented> done) {
        rented.add(count + " in " + zone);
        answer = done;
    }
}
