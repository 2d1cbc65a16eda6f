package io.pepperfield.standin;

import java.util.Set;
import java.util.stream.IntStream;

/**
 * Something that goes wrong in a region: who is hit, and for how long. When it begins is the
 * scenario's.
 */
public sealed interface Trouble {

    /** How long it lasts. */
    double forS();

    /** How long something of it may still be under way after its end. */
    default double aftermathS() {
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
     * Controllers, chosen when the trouble begins: the leader, others in their order after it, one
     * by its index, or all.
     */
    record Controllers(Kind kind, int index) {

        /** Which controllers a trouble is aimed at. */
        private enum Kind {
            LEADER,
            AFTER_LEADER,
            INDEX,
            ALL
        }

        public static final Controllers LEADER = new Controllers(Kind.LEADER, 0);
        public static final Controllers ALL = new Controllers(Kind.ALL, 0);

        public static Controllers afterLeader(int places) {
            return new Controllers(Kind.AFTER_LEADER, places);
        }

        public static Controllers node(int index) {
            return new Controllers(Kind.INDEX, index);
        }

        int[] of(int leader, int nodes) {
            return switch (kind) {
                case LEADER -> new int[] {leader};
                case AFTER_LEADER -> new int[] {(leader + index) % nodes};
                case INDEX -> new int[] {index};
                case ALL -> IntStream.range(0, nodes).toArray();
            };
        }
    }

    /**
     * Machines, chosen when the trouble begins, those with tasks first: so many, that share of all,
     * or a zone's.
     */
    record Machines(int count, double share, String zone) {

        public static Machines count(int count) {
            return new Machines(count, 0, null);
        }

        public static Machines share(double share) {
            return new Machines(0, share, null);
        }

        public static Machines zone(String zone) {
            return new Machines(0, 1, zone);
        }
    }

    /** The state service answers everybody 503. */
    record StateOutage(double forS) implements Trouble {}

    /**
     * The state service is lost to these controllers alone: held back, or 503 while their open
     * watches wait and grants run out.
     */
    record StateCut(Controllers who, Way way, double forS) implements Trouble {}

    /** Each answer of the state service comes so much later. */
    record StateSlow(double byS, double forS) implements Trouble {}

    /**
     * That share of transactions gets no answer, and is carried out 2 to 12 s later, or at once.
     */
    record LateWrites(double share, double forS, boolean atOnce) implements Trouble {
        static final double LEAST_S = 2;
        static final double MOST_S = 12;

        @Override
        public double aftermathS() {
            return atOnce ? 0 : MOST_S;
        }
    }

    /**
     * Of that share of reports a copy comes to every controller, 2 s to well over a lease later, or
     * once a new leader leads.
     */
    record LateReports(double share, double forS, boolean forNext) implements Trouble {
        static final double LEAST_S = 2;
        static final double MOST_S = 3 * Region.LEASE_S;

        @Override
        public double aftermathS() {
            return MOST_S;
        }
    }

    /** Reports leave; neither their answers nor direct commands arrive. */
    record MachineDeaf(Machines which, double forS) implements Trouble {}

    /** No controller is reached; direct commands and questions arrive and are answered. */
    record MachineMute(Machines which, double forS) implements Trouble {}

    /** Nothing is done; what comes is taken up at the end. */
    record MachineHang(Machines which, double forS) implements Trouble {}

    /** Cut off from everything; what is under way is held back. */
    record MachineCut(Machines which, double forS) implements Trouble {}

    /** Lost with all that is on it, though it stays rented. */
    record MachineDie(Machines which) implements Trouble {
        @Override
        public double forS() {
            return 0;
        }
    }

    /** Lost with all that is on it, and back at once with a worker that knows nothing of before. */
    record MachineReboot(Machines which) implements Trouble {
        @Override
        public double forS() {
            return 0;
        }
    }

    /**
     * Direct commands to these machines are held up so long, and then carried out if token and
     * session still match.
     */
    record CommandsHeld(Machines which, double heldS, double forS) implements Trouble {
        @Override
        public double aftermathS() {
            return heldS;
        }
    }

    /** A zone's machines and the controllers inside are cut off, and go on with each other. */
    record ZoneCut(String zone, Controllers inside, double forS) implements Trouble {}

    /**
     * Controllers lose some of those they talk to. Refused by the state service means 503, by
     * others a refused connection.
     */
    record NodeCut(Controllers who, Set<Side> from, Way way, double forS) implements Trouble {}

    /** Controllers end, and are back after that time. */
    record NodeCrash(Controllers who, double forS) implements Trouble {}

    /** So many times within that time whoever leads ends, and is back after 0.1 to 3 s. */
    record LeaderChanges(int times, double forS) implements Trouble {
        static final double LEAST_DOWN_S = 0.1;
        static final double MOST_DOWN_S = 3;

        @Override
        public double aftermathS() {
            return MOST_DOWN_S;
        }
    }

    /** Processes stand still while their clocks run on. */
    record NodeFreeze(Controllers who, double forS) implements Trouble {}

    /**
     * Up to that many running jobs are cancelled within a fifth of a second; where hangS is
     * positive, up to eight of their machines hang.
     */
    record CancelNow(int count, double hangS) implements Trouble {
        static final double WITHIN_S = 0.2;
        static final int MOST_HUNG = 8;

        @Override
        public double forS() {
            return Math.max(WITHIN_S, hangS);
        }
    }

    /** That share of the jobs that end is cancelled the moment their last task ends. */
    record CancelAtEnd(double share, double forS) implements Trouble {}

    /**
     * Users ask at all nodes within milliseconds after a job was accepted, ended or cancelled, and
     * submit it again.
     */
    record ReadAfterWriteChecks(double forS) implements Trouble {}

    /**
     * Repeated submissions, also with another body, cancellations of what is over or unknown, and
     * jobs that can't be accepted.
     */
    record InvalidRequests(double forS) implements Trouble {}

    /** Machines are up within two seconds. */
    record QuickBoots(double forS) implements Trouble {}

    /** So many one-task jobs a second, a quarter of them cancelled. */
    record Swarm(double perS, double forS) implements Trouble {}

    /** So many pipelines of dependent jobs at even intervals. */
    record Pipelines(int count, double forS) implements Trouble {}

    /** Every message takes so much longer. */
    record SlowLinks(double byS, double forS) implements Trouble {}

    /** Users ask eight times as often. */
    record ManyQuestions(double forS) implements Trouble {}

    /** The cloud answers everybody 503. */
    record CloudOutage(double forS) implements Trouble {}

    /**
     * Controllers are replaced by that version in random order, one or two at a time, within that
     * time.
     */
    record Upgrade(double forS, Version by) implements Trouble {
        static final int MOST_AT_ONCE = 2;
        static final double DOWN_S = 5;

        public Upgrade(double forS) {
            this(forS, Version.CURRENT);
        }

        @Override
        public double aftermathS() {
            return DOWN_S;
        }
    }

    /** An operator repeats a rollout command until it is confirmed, for at most that time. */
    record OperatorAsks(SimOperator.Command command, double forS) implements Trouble {}

    /** Controllers end and come back as that version. */
    record Replace(Controllers who, Version by, double forS) implements Trouble {}

    /** The state service has its lower limits from now on. */
    record LimitsFall() implements Trouble {
        @Override
        public double forS() {
            return 0;
        }
    }

    /** Every request about grants is refused as beyond the rate. */
    record GrantsRefused(double forS) implements Trouble {}

    /** Arrays of many small tasks of a team without a limit, one a second. */
    record LargeArrays(int count, int tasks, double runS) implements Trouble {
        @Override
        public double forS() {
            return count;
        }
    }
}
