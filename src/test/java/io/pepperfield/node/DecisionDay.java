package io.pepperfield.node;

import io.pepperfield.standin.CancelMoment;
import io.pepperfield.standin.PipelineShape;
import io.pepperfield.standin.Region;
import io.pepperfield.standin.Scenario;
import io.pepperfield.standin.SimOperator.Command;
import io.pepperfield.standin.Trouble.CancelNow;
import io.pepperfield.standin.Trouble.CommandsHeld;
import io.pepperfield.standin.Trouble.Controllers;
import io.pepperfield.standin.Trouble.LargeArrays;
import io.pepperfield.standin.Trouble.LateWrites;
import io.pepperfield.standin.Trouble.LeaderChanges;
import io.pepperfield.standin.Trouble.MachineDeaf;
import io.pepperfield.standin.Trouble.MachineDie;
import io.pepperfield.standin.Trouble.MachineHang;
import io.pepperfield.standin.Trouble.MachineMute;
import io.pepperfield.standin.Trouble.MachineReboot;
import io.pepperfield.standin.Trouble.Machines;
import io.pepperfield.standin.Trouble.NodeCrash;
import io.pepperfield.standin.Trouble.OperatorAsks;
import io.pepperfield.standin.Trouble.Pipelines;
import io.pepperfield.standin.Trouble.Swarm;
import io.pepperfield.standin.Trouble.Upgrade;
import io.pepperfield.standin.Trouble.ZoneCut;
import io.pepperfield.standin.Version;
import java.util.Locale;
import java.util.function.LongFunction;

/** The days of the simulated region whose decisions are kept as test data. */
enum DecisionDay {
    QUIET(1, 220, DecisionDay::quiet),
    DRAWN_TROUBLES_11(11, 300, DecisionDay::drawnTroubles),
    DRAWN_TROUBLES_13(13, 300, DecisionDay::drawnTroubles),
    DRAWN_TROUBLES_14(14, 300, DecisionDay::drawnTroubles),
    DRAWN_TROUBLES_15(15, 300, DecisionDay::drawnTroubles),
    DRAWN_TROUBLES_17(17, 300, DecisionDay::drawnTroubles),
    DRAWN_TROUBLES_19(19, 300, DecisionDay::drawnTroubles),
    DRAWN_TROUBLES_20(20, 300, DecisionDay::drawnTroubles),
    DRAWN_TROUBLES_22(22, 300, DecisionDay::drawnTroubles),
    CROWDED(31, 240, DecisionDay::crowded),
    PIPELINES(32, 220, DecisionDay::pipelines),
    ROLLOUT(33, 220, DecisionDay::rollout),
    ADMISSION(34, 180, DecisionDay::admission),
    SILENT_MACHINES(35, 240, DecisionDay::silentMachines);

    private final long seed;
    private final double endsAt;
    private final LongFunction<Region> plan;

    DecisionDay(long seed, double endsAt, LongFunction<Region> plan) {
        this.seed = seed;
        this.endsAt = endsAt;
        this.plan = plan;
    }

    /** A region of its own at the end of the day. */
    Region play() {
        Region region = plan.apply(seed);
        region.world.run(endsAt);
        return region;
    }

    /** The name of its test data. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static Region quiet(long seed) {
        Region region = new Region(seed);
        for (int i = 1; i <= 12; i++) {
            int number = i;
            region.world.at(10 + 3 * i, () -> region.jobs.submit(number));
        }
        return region;
    }

    /** Losses, late messages, and fourteen troubles of any kind. */
    private static Region drawnTroubles(long seed) {
        Region region = new Region(seed);
        region.world.lost = 0.01;
        region.world.late = 0.005;
        region.world.copies = 0.01;
        for (int i = 1; i <= 40; i++) {
            int number = i;
            region.world.at(5 + 4 * i, () -> region.jobs.submit(number));
        }
        region.world.at(30, () -> region.jobs.submitMistake(201, 150));
        region.world.at(70, () -> region.jobs.submitGuests(200, 150, 2));
        for (int i = 0; i < 14; i++) {
            region.world.at(20 + 11 * i, region::trouble);
        }
        return region;
    }

    /** Jobs of all kinds, bound to zones too, beside more work than the machines can hold. */
    private static Region crowded(long seed) {
        Region region = new Region(seed);
        region.play(
                Scenario.jobs(40, 2)
                        .at(20, new Swarm(4, 40), new LargeArrays(2, 150, 6))
                        .at(45, new CancelNow(4, 0))
                        .at(60, new MachineDie(Machines.count(2))));
        region.world.at(15, () -> region.jobs.submitWide(900, 30, 4));
        region.world.at(30, () -> region.jobs.submitMistake(901, 100));
        return region;
    }

    /** For each of its jobs and each moment of a cancellation a pipeline; leaders change. */
    private static Region pipelines(long seed) {
        Region region = new Region(seed);
        region.play(
                Scenario.jobs(0, 1)
                        .at(12, new LateWrites(0.2, 30, false))
                        .at(15, new LeaderChanges(4, 40)));
        PipelineShape shape = PipelineShape.MIXED;
        int pipelines = 0;
        for (CancelMoment moment : CancelMoment.values()) {
            for (int index = 0; index < shape.jobs(); index++) {
                int number = 1000 + 10 * pipelines;
                int cancelled = index;
                region.world.at(
                        Scenario.FIRST_JOB_S + 3 * pipelines,
                        () -> region.pipelines.submit(number, shape, cancelled, moment));
                pipelines++;
            }
        }
        return region;
    }

    /** Five controllers, upgraded one by one to the next form of what is stored. */
    private static Region rollout(long seed) {
        Region region = Region.beforeRollout(seed, Version.GATED);
        region.play(
                Scenario.jobs(30, 2)
                        .at(20, new Upgrade(20, Version.ROLLOUT))
                        .at(24, new LargeArrays(2, 150, 6))
                        .at(26, new OperatorAsks(Command.ACTIVATE, 60))
                        .at(45, new NodeCrash(Controllers.LEADER, 0.2))
                        .at(75, new Pipelines(3, 10)));
        return region;
    }

    /** Five controllers that divide admission among them, and a swarm of submissions. */
    private static Region admission(long seed) {
        Region region = Region.admitting(seed, 5, 0);
        region.play(
                Scenario.jobs(20, 3)
                        .at(20, new Swarm(6, 30))
                        .at(35, new NodeCrash(Controllers.LEADER, 0.5)));
        return region;
    }

    /** Machines that do not hear, are not heard, hang or restart, and a zone that is cut off. */
    private static Region silentMachines(long seed) {
        Region region = new Region(seed);
        region.play(
                Scenario.jobs(50, 2)
                        .at(20, new CommandsHeld(Machines.share(0.3), 3, 30))
                        .at(25, new MachineDeaf(Machines.count(1), 30))
                        .at(40, new CancelNow(6, 40))
                        .at(60, new ZoneCut("east", Controllers.afterLeader(1), 20))
                        .at(61, new CancelNow(6, 0))
                        .at(85, new MachineMute(Machines.count(2), 20))
                        .at(90, new MachineReboot(Machines.count(1)))
                        .at(95, new MachineHang(Machines.share(0.6), 15)));
        return region;
    }
}
