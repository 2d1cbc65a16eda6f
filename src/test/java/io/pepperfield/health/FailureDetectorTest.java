package io.pepperfield.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.cloud.InstanceLifecycle;
import io.pepperfield.cluster.BootTracker;
import io.pepperfield.cluster.ClusterState;
import io.pepperfield.cluster.LatencyHistograms;
import io.pepperfield.cluster.MachineTypes;
import io.pepperfield.config.Objectives;
import io.pepperfield.config.Settings;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.HttpWorkerClient;
import io.pepperfield.fleet.LiveAttempts;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.loop.Loop;
import io.pepperfield.standin.NoOpCloud;
import io.pepperfield.standin.NoOpFleetListener;
import io.pepperfield.standin.SingleNodeSettings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/**
 * Which silent machines are given up: twelve in the east and twelve in the west, reports every
 * second, leases of six.
 */
class FailureDetectorTest implements Loop, NoOpFleetListener {

    private final Settings settings =
            SingleNodeSettings.of(List.of("east", "west"), Map.of(), List.of());
    private final TreeSet<String> released = new TreeSet<>();
    private final Fleet fleet = new Fleet(this, new FencingToken(10), 3);
    private final Map<String, Integer> serials = new HashMap<>();
    private final List<Runnable> posted = new ArrayList<>();
    private final MachineTypes types = new MachineTypes(settings);
    private final BootTracker boots = new BootTracker(types, 60);
    private final FailureDetector failureDetector;
    private double now;

    FailureDetectorTest() {
        types.update(
                List.of(
                        new MachineType(
                                "box", 8, 0, 32, 20, 1, 1, 0.4, 5, List.of("east", "west"))));
        CloudProvider cloud =
                new NoOpCloud() {

                    @Override
                    public void releaseInstances(List<String> names, Consumer<Boolean> done) {
                        released.addAll(names);
                        done.accept(true);
                    }
                };
        InstanceLifecycle renting =
                new InstanceLifecycle(
                        this, cloud, null, fleet, new FencingToken(10), 1, 10, () -> true);
        ClusterState cluster =
                new ClusterState(
                        this,
                        settings,
                        new Objectives(List.of()),
                        types,
                        fleet,
                        new LiveAttempts(),
                        new HashMap<>(),
                        renting,
                        boots,
                        new LatencyHistograms());
        failureDetector =
                new FailureDetector(
                        cluster,
                        null,
                        new HttpWorkerClient(this, (request, onOutcome) -> {}, 1),
                        null);
    }

    private void tick() {
        failureDetector.tick(now);
        List.copyOf(posted).forEach(Runnable::run);
        posted.clear();
    }

    private void run(double until, String... zones) {
        for (; now < until; now += 0.5) {
            for (String zone : zones) {
                for (int i = 0; i < 12; i++) {
                    report(zone + i, zone);
                }
            }
            tick();
        }
    }

    private void report(String name, String zone) {
        fleet.addExpectedMachine(name, "box", zone, false, 0, now);
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
                        List.of()),
                now);
    }

    @Test
    void aZonesSilenceIsTakenForACutUntilItsMachinesHadTimeToComeBack() {
        run(10, "east", "west");
        run(25, "east");
        // The cut ends: most are heard again, and the others have been silent for longer than a
        // lease.
        for (int i = 0; i < 8; i++) {
            report("west" + i, "west");
        }
        tick();
        assertEquals(List.of(), new ArrayList<>(released));
        run(27, "east");
        assertEquals(List.of(), new ArrayList<>(released));
    }

    @Test
    void aFewSilentMachinesAreReturnedAndAZoneThatNeverComesBackIsToo() {
        run(10, "east", "west");
        report("east12", "east");
        run(14, "east", "west");
        assertEquals(List.of("east12"), new ArrayList<>(released));
        run(33, "east");
        assertEquals(1, released.size());
        run(38, "east");
        assertEquals(13, released.size());
    }

    @Test
    void machinesOfASlowZoneAreWaitedForAndOneThatNeverComesIsNot() {
        // Nominal 5 s. In the west all come late; in the east all but one are up in time.
        for (int i = 0; i < 6; i++) {
            fleet.addExpectedMachine("west" + i, "box", "west", false, 0, 0);
        }
        fleet.addExpectedMachine("never", "box", "east", false, 0, 0);
        for (int i = 0; i < 4; i++) {
            report("east" + i, "east");
            now = 6;
            boots.recordBoot(fleet.getMachine("east" + i), now);
        }
        for (now = 6; now < 19; now += 0.5) {
            boots.update(fleet, now);
            for (int i = 0; i < 4; i++) {
                report("east" + i, "east");
            }
            tick();
            // Counted on or a second fleet would be rented for one that is about to come.
            assertTrue(boots.isStillExpected(fleet.getMachine("west0"), now), "at " + now);
            assertTrue(
                    now <= 12
                            || fleet.getMachine("never") == null
                            || !boots.isStillExpected(fleet.getMachine("never"), now));
        }
        assertEquals(List.of("never"), new ArrayList<>(released));
        assertTrue(boots.isBootLate(types.get("box"), "west"));
        // A leader that begins now has seen no boot at all: what is up speaks for the east, where a
        // few stragglers are no news.
        BootTracker next = new BootTracker(types, 60);
        for (int i = 0; i < 3; i++) {
            fleet.addExpectedMachine("straggler" + i, "box", "east", false, 0, now);
        }
        next.update(fleet, now);
        // Nor are three that died as they booted, where nothing else was rented since.
        assertEquals(5, next.expectedBootTime(types.get("box"), "east"));
        now += 20;
        next.update(fleet, now);
        assertEquals(5, next.expectedBootTime(types.get("box"), "east"));
        assertTrue(next.isBootLate(types.get("box"), "west"));
        // When the trouble ends, what comes in time is believed again.
        for (int i = 0; i < 6; i++) {
            fleet.confirmReleased("west" + i);
        }
        boots.update(fleet, now);
        assertEquals(5, boots.expectedBootTime(types.get("box"), "west"));
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
        posted.add(command);
    }

    @Override
    public void schedule(double seconds, Runnable command) {}
}
