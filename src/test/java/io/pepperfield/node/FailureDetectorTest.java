package io.pepperfield.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.pepperfield.cloud.Cloud;
import io.pepperfield.cloud.Renting;
import io.pepperfield.config.Aims;
import io.pepperfield.config.Settings;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.HttpWorkers;
import io.pepperfield.fleet.Ledger;
import io.pepperfield.fleet.MachineType;
import io.pepperfield.fleet.Report;
import io.pepperfield.loop.Loop;
import io.pepperfield.standin.SilentCloud;
import io.pepperfield.standin.SilentFleetListener;
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
class FailureDetectorTest implements Loop, SilentFleetListener {

    private final Settings settings =
            SingleNodeSettings.of(List.of("east", "west"), Map.of(), List.of());
    private final TreeSet<String> released = new TreeSet<>();
    private final Fleet fleet = new Fleet(this, 10, 3);
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
        Cloud cloud =
                new SilentCloud() {

                    @Override
                    public void release(List<String> names, Consumer<Boolean> done) {
                        released.addAll(names);
                        done.accept(true);
                    }
                };
        Renting renting = new Renting(this, cloud, null, fleet, 10, 1, 10, () -> true);
        ClusterState cluster =
                new ClusterState(
                        this,
                        settings,
                        new Aims(List.of()),
                        types,
                        fleet,
                        new Ledger(),
                        new HashMap<>(),
                        renting,
                        boots,
                        new Latencies());
        failureDetector =
                new FailureDetector(
                        cluster,
                        null,
                        new HttpWorkers(
                                this,
                                (host,
                                        port,
                                        connections,
                                        method,
                                        path,
                                        body,
                                        deadlineMs,
                                        done) -> {},
                                1),
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
        fleet.expect(name, "box", zone, false, 0, now);
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
            fleet.expect("west" + i, "box", "west", false, 0, 0);
        }
        fleet.expect("never", "box", "east", false, 0, 0);
        for (int i = 0; i < 4; i++) {
            report("east" + i, "east");
            now = 6;
            boots.reported(fleet.get("east" + i), now);
        }
        for (now = 6; now < 19; now += 0.5) {
            boots.update(fleet, now);
            for (int i = 0; i < 4; i++) {
                report("east" + i, "east");
            }
            tick();
            // Counted on or a second fleet would be rented for one that is about to come.
            assertTrue(boots.coming(fleet.get("west0"), now), "at " + now);
            assertTrue(
                    now <= 12
                            || fleet.get("never") == null
                            || !boots.coming(fleet.get("never"), now));
        }
        assertEquals(List.of("never"), new ArrayList<>(released));
        assertTrue(boots.late(types.get("box"), "west"));
        // A leader that begins now has seen no boot at all: what is up speaks for the east, where a
        // few stragglers are no news.
        BootTracker next = new BootTracker(types, 60);
        for (int i = 0; i < 3; i++) {
            fleet.expect("straggler" + i, "box", "east", false, 0, now);
        }
        next.update(fleet, now);
        // Nor are three that died as they booted, where nothing else was rented since.
        assertEquals(5, next.expected(types.get("box"), "east"));
        now += 20;
        next.update(fleet, now);
        assertEquals(5, next.expected(types.get("box"), "east"));
        assertTrue(next.late(types.get("box"), "west"));
        // When the trouble ends, what comes in time is believed again.
        for (int i = 0; i < 6; i++) {
            fleet.gone("west" + i);
        }
        boots.update(fleet, now);
        assertEquals(5, boots.expected(types.get("box"), "west"));
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
        posted.add(command);
    }

    @Override
    public void after(double seconds, Runnable command) {}
}
