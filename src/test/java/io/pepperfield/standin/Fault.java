package io.pepperfield.standin;

import java.util.Set;
import java.util.stream.IntStream;

/**
 * Something that goes wrong in a region: who is hit, and for how long. When it begins is the
 * scenario's.
 */
public sealed interface Fault {

    /** How long it lasts. */
    double durationS();

    /** How long something of it may still be under way after its end. */
    default double maxAfterEffectS() {
        return 0;
    }

    /**
     * What a cut does to messages: hold them back and deliver them at its end, or refuse them at
     * once.
     */
    enum Way {
        HOLD,
        REFUSE
    }

    /** What a controller can be cut from. */
    enum Side {
        STATE,
        PEERS,
        WORKERS,
        USERS
    }

    /**
     * Controllers, chosen when the fault begins: the leader, others in their order after it, one by
     * its index, or all.
     */
    record ControllerSelector(Kind kind, int index) {

        /** Which controllers a fault is aimed at. */
        private enum Kind {
            LEADER,
            AFTER_LEADER,
            INDEX,
            ALL
        }

        public static final ControllerSelector LEADER = new ControllerSelector(Kind.LEADER, 0);
        public static final ControllerSelector ALL = new ControllerSelector(Kind.ALL, 0);

        public static ControllerSelector afterLeader(int places) {
            return new ControllerSelector(Kind.AFTER_LEADER, places);
        }

        public static ControllerSelector node(int index) {
            return new ControllerSelector(Kind.INDEX, index);
        }

        int[] resolve(int leader, int nodes) {
            return switch (kind) {
                case LEADER -> new int[] {leader};
                case AFTER_LEADER -> new int[] {(leader + index) % nodes};
                case INDEX -> new int[] {index};
                case ALL -> IntStream.range(0, nodes).toArray();
            };
        }
    }

    /**
     * Machines, chosen when the fault begins, those with tasks first: so many, that share of all,
     * or a zone's.
     */
    record MachineSelector(int count, double share, String zone) {

        public static MachineSelector count(int count) {
            return new MachineSelector(count, 0, null);
        }

        public static MachineSelector share(double share) {
            return new MachineSelector(0, share, null);
        }

        public static MachineSelector zone(String zone) {
            return new MachineSelector(0, 1, zone);
        }
    }

    /** The state service answers everybody 503. */
    record StoreOutage(double durationS) implements Fault {}

    /**
     * The state service is lost to these controllers alone: held back, or 503 while their open
     * watches wait and grants run out.
     */
    record StorePartition(ControllerSelector controllers, Way mode, double durationS)
            implements Fault {}

    /** Each answer of the state service comes so much later. */
    record StoreLatency(double addedS, double durationS) implements Fault {}

    /**
     * That share of transactions gets no answer, and is carried out 2 to 12 s later, or at once.
     */
    record DelayedWrites(double share, double durationS, boolean appliedAtOnce) implements Fault {
        static final double MIN_DELAY_S = 2;
        static final double MAX_DELAY_S = 12;

        @Override
        public double maxAfterEffectS() {
            return appliedAtOnce ? 0 : MAX_DELAY_S;
        }
    }

    /**
     * Of that share of reports a copy comes to every controller, 2 s to well over a lease later, or
     * once a new leader leads.
     */
    record ReplayedHeartbeats(double share, double durationS, boolean heldForNextLeader)
            implements Fault {
        static final double MIN_DELAY_S = 2;
        static final double MAX_DELAY_S = 3 * SimulatedRegion.LEASE_S;

        @Override
        public double maxAfterEffectS() {
            return MAX_DELAY_S;
        }
    }

    /** Reports leave; neither their answers nor direct commands arrive. */
    record MachineReceiveFailure(MachineSelector machines, double durationS) implements Fault {}

    /** No controller is reached; direct commands and questions arrive and are answered. */
    record MachineSendFailure(MachineSelector machines, double durationS) implements Fault {}

    /** Nothing is done; what comes is taken up at the end. */
    record MachineHang(MachineSelector machines, double durationS) implements Fault {}

    /** Cut off from everything; what is under way is held back. */
    record MachinePartition(MachineSelector machines, double durationS) implements Fault {}

    /** Lost with all that is on it, though it stays rented. */
    record MachineLoss(MachineSelector machines) implements Fault {
        @Override
        public double durationS() {
            return 0;
        }
    }

    /** Lost with all that is on it, and back at once with a worker that knows nothing of before. */
    record MachineReboot(MachineSelector machines) implements Fault {
        @Override
        public double durationS() {
            return 0;
        }
    }

    /**
     * Direct commands to these machines are held up so long, and then carried out if fencing token
     * and incarnation still match.
     */
    record DelayedOrders(MachineSelector machines, double delayS, double durationS)
            implements Fault {
        @Override
        public double maxAfterEffectS() {
            return delayS;
        }
    }

    /** A zone's machines and the controllers inside are cut off, and go on with each other. */
    record ZonePartition(String zone, ControllerSelector controllers, double durationS)
            implements Fault {}

    /**
     * Controllers lose some of those they talk to. Refused by the state service means 503, by
     * others a refused connection.
     */
    record ControllerPartition(
            ControllerSelector controllers, Set<Side> sides, Way mode, double durationS)
            implements Fault {}

    /** Controllers end, and are back after that time. */
    record ControllerCrash(ControllerSelector controllers, double durationS) implements Fault {}

    /** So many times within that time whoever leads ends, and is back after 0.1 to 3 s. */
    record LeaderCrashes(int times, double durationS) implements Fault {
        static final double MIN_DOWN_S = 0.1;
        static final double MAX_DOWN_S = 3;

        @Override
        public double maxAfterEffectS() {
            return MAX_DOWN_S;
        }
    }

    /** Processes stand still while their clocks run on. */
    record ControllerPause(ControllerSelector controllers, double durationS) implements Fault {}

    /**
     * Up to that many running jobs are cancelled within a fifth of a second; where hangS is
     * positive, up to eight of their machines hang.
     */
    record CancelNow(int count, double hangS) implements Fault {
        static final double CANCEL_WINDOW_S = 0.2;
        static final int MAX_HUNG_MACHINES = 8;

        @Override
        public double durationS() {
            return Math.max(CANCEL_WINDOW_S, hangS);
        }
    }

    /** That share of the jobs that end is cancelled the moment their last task ends. */
    record CancelAtEnd(double share, double durationS) implements Fault {}

    /**
     * Users ask at all nodes within milliseconds after a job was accepted, ended or cancelled, and
     * submit it again.
     */
    record ReadAfterWriteChecks(double durationS) implements Fault {}

    /**
     * Repeated submissions, also with another body, cancellations of what is over or unknown, and
     * jobs that can't be accepted.
     */
    record InvalidRequests(double durationS) implements Fault {}

    /** Machines are up within two seconds. */
    record FastBoots(double durationS) implements Fault {}

    /** So many one-task jobs a second, a quarter of them cancelled. */
    record SubmissionFlood(double jobsPerS, double durationS) implements Fault {}

    /** So many pipelines of dependent jobs at even intervals. */
    record Pipelines(int count, double durationS) implements Fault {}

    /** Every message takes so much longer. */
    record NetworkLatency(double addedS, double durationS) implements Fault {}

    /** Users ask eight times as often. */
    record QueryFlood(double durationS) implements Fault {}

    /** The cloud answers everybody 503. */
    record CloudOutage(double durationS) implements Fault {}

    /**
     * Controllers are replaced by that version in random order, one or two at a time, within that
     * time.
     */
    record Upgrade(double durationS, Version toVersion) implements Fault {
        static final int MAX_CONCURRENT = 2;
        static final double DOWN_S = 5;

        public Upgrade(double durationS) {
            this(durationS, Version.CURRENT);
        }

        @Override
        public double maxAfterEffectS() {
            return DOWN_S;
        }
    }

    /** An operator repeats a rollout command until it is confirmed, for at most that time. */
    record OperatorCommand(SimOperator.Command command, double durationS) implements Fault {}

    /** Controllers end and come back as that version. */
    record ControllerReplacement(
            ControllerSelector controllers, Version toVersion, double durationS) implements Fault {}

    /** The state service has its lower limits from now on. */
    record StoreLimitsReduction() implements Fault {
        @Override
        public double durationS() {
            return 0;
        }
    }

    /** Every request about grants is refused as beyond the rate. */
    record GrantsRefused(double durationS) implements Fault {}

    /** Arrays of many small tasks of a team without a limit, one a second. */
    record LargeArrays(int count, int tasks, double runS) implements Fault {
        @Override
        public double durationS() {
            return count;
        }
    }
}
