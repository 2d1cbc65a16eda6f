package io.pepperfield.controller;

import io.pepperfield.standin.CancelMoment;
import io.pepperfield.standin.Fault.CancelNow;
import io.pepperfield.standin.Fault.ControllerCrash;
import io.pepperfield.standin.Fault.ControllerSelector;
import io.pepperfield.standin.Fault.DelayedOrders;
import io.pepperfield.standin.Fault.DelayedWrites;
import io.pepperfield.standin.Fault.LargeArrays;
import io.pepperfield.standin.Fault.LeaderCrashes;
import io.pepperfield.standin.Fault.MachineHang;
import io.pepperfield.standin.Fault.MachineLoss;
import io.pepperfield.standin.Fault.MachineReboot;
import io.pepperfield.standin.Fault.MachineReceiveFailure;
import io.pepperfield.standin.Fault.MachineSelector;
import io.pepperfield.standin.Fault.MachineSendFailure;
import io.pepperfield.standin.Fault.OperatorCommand;
import io.pepperfield.standin.Fault.Pipelines;
import io.pepperfield.standin.Fault.SubmissionFlood;
import io.pepperfield.standin.Fault.Upgrade;
import io.pepperfield.standin.Fault.ZonePartition;
import io.pepperfield.standin.PipelineShape;
import io.pepperfield.standin.Scenario;
import io.pepperfield.standin.SimOperator.Command;
import io.pepperfield.standin.SimulatedRegion;
import io.pepperfield.standin.Version;
import java.util.Locale;
import java.util.function.LongFunction;

/** Simulated days whose scheduling decisions are stored as test data. */
enum DecisionDay {
    QUIET(1, 220, DecisionDay::quiet),
    DRAWN_TROUBLES_11(11, 300, DecisionDay::randomFaults),
    DRAWN_TROUBLES_13(13, 300, DecisionDay::randomFaults),
    DRAWN_TROUBLES_14(14, 300, DecisionDay::randomFaults),
    DRAWN_TROUBLES_15(15, 300, DecisionDay::randomFaults),
    DRAWN_TROUBLES_17(17, 300, DecisionDay::randomFaults),
    DRAWN_TROUBLES_19(19, 300, DecisionDay::randomFaults),
    DRAWN_TROUBLES_20(20, 300, DecisionDay::randomFaults),
    DRAWN_TROUBLES_22(22, 300, DecisionDay::randomFaults),
    CROWDED(31, 240, DecisionDay::crowded),
    PIPELINES(32, 220, DecisionDay::pipelines),
    ROLLOUT(33, 220, DecisionDay::rollout),
    ADMISSION(34, 180, DecisionDay::admission),
    SILENT_MACHINES(35, 240, DecisionDay::silentMachines);

    private final long seed;
    private final double endsAt;
    private final LongFunction<SimulatedRegion> regionFactory;

    DecisionDay(long seed, double endsAt, LongFunction<SimulatedRegion> regionFactory) {
        this.seed = seed;
        this.endsAt = endsAt;
        this.regionFactory = regionFactory;
    }

    /** Runs the day in a new region and returns the region. */
    SimulatedRegion run() {
        SimulatedRegion region = regionFactory.apply(seed);
        region.world.run(endsAt);
        return region;
    }

    /** The base name of the day's test data files. */
    String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    private static SimulatedRegion quiet(long seed) {
        SimulatedRegion region = new SimulatedRegion(seed);
        for (int i = 1; i <= 12; i++) {
            int number = i;
            region.world.at(10 + 3 * i, () -> region.jobMix.submit(number));
        }
        return region;
    }

    /** Lost, late and duplicate messages, and fourteen random faults. */
    private static SimulatedRegion randomFaults(long seed) {
        SimulatedRegion region = new SimulatedRegion(seed);
        region.world.messageLossShare = 0.01;
        region.world.lateDeliveryShare = 0.005;
        region.world.duplicateDeliveryShare = 0.01;
        for (int i = 1; i <= 40; i++) {
            int number = i;
            region.world.at(5 + 4 * i, () -> region.jobMix.submit(number));
        }
        region.world.at(30, () -> region.jobMix.submitFailing(201, 150));
        region.world.at(70, () -> region.jobMix.submitGuests(200, 150, 2));
        for (int i = 0; i < 14; i++) {
            region.world.at(20 + 11 * i, region.faults::injectRandomFault);
        }
        return region;
    }

    /**
     * Jobs of all kinds, including zone-bound ones, with more demand than the machines can hold.
     */
    private static SimulatedRegion crowded(long seed) {
        SimulatedRegion region = new SimulatedRegion(seed);
        region.schedule(
                Scenario.jobs(40, 2)
                        .at(20, new SubmissionFlood(4, 40), new LargeArrays(2, 150, 6))
                        .at(45, new CancelNow(4, 0))
                        .at(60, new MachineLoss(MachineSelector.count(2))));
        region.world.at(15, () -> region.jobMix.submitWide(900, 30, 4));
        region.world.at(30, () -> region.jobMix.submitFailing(901, 100));
        return region;
    }

    /** A pipeline for each job and moment of cancellation, during leader changes. */
    private static SimulatedRegion pipelines(long seed) {
        SimulatedRegion region = new SimulatedRegion(seed);
        region.schedule(
                Scenario.jobs(0, 1)
                        .at(12, new DelayedWrites(0.2, 30, false))
                        .at(15, new LeaderCrashes(4, 40)));
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

    /** Five controllers, upgraded one by one to the next stored-state version. */
    private static SimulatedRegion rollout(long seed) {
        SimulatedRegion region = SimulatedRegion.beforeRollout(seed, Version.GATED);
        region.schedule(
                Scenario.jobs(30, 2)
                        .at(20, new Upgrade(20, Version.ROLLOUT))
                        .at(24, new LargeArrays(2, 150, 6))
                        .at(26, new OperatorCommand(Command.ACTIVATE, 60))
                        .at(45, new ControllerCrash(ControllerSelector.LEADER, 0.2))
                        .at(75, new Pipelines(3, 10)));
        return region;
    }

    /** Five controllers that share admission, during a flood of submissions. */
    private static SimulatedRegion admission(long seed) {
        SimulatedRegion region = SimulatedRegion.withAdmission(seed, 5, 0);
        region.schedule(
                Scenario.jobs(20, 3)
                        .at(20, new SubmissionFlood(6, 30))
                        .at(35, new ControllerCrash(ControllerSelector.LEADER, 0.5)));
        return region;
    }

    /** Machines that cannot receive or send, hang or restart, and a partitioned zone. */
    private static SimulatedRegion silentMachines(long seed) {
        SimulatedRegion region = new SimulatedRegion(seed);
        region.schedule(
                Scenario.jobs(50, 2)
                        .at(20, new DelayedOrders(MachineSelector.share(0.3), 3, 30))
                        .at(25, new MachineReceiveFailure(MachineSelector.count(1), 30))
                        .at(40, new CancelNow(6, 40))
                        .at(60, new ZonePartition("east", ControllerSelector.afterLeader(1), 20))
                        .at(61, new CancelNow(6, 0))
                        .at(85, new MachineSendFailure(MachineSelector.count(2), 20))
                        .at(90, new MachineReboot(MachineSelector.count(1)))
                        .at(95, new MachineHang(MachineSelector.share(0.6), 15)));
        return region;
    }
}
