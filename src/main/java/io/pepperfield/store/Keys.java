package io.pepperfield.store;

/** The keys under which the scheduler stores its state in the state service. */
public final class Keys {

    public static final String ROOT = "pepperfield/";
    public static final String LEADER = ROOT + "leader";
    public static final String MACHINE_TYPES = ROOT + "types";
    public static final String JOB_PREFIX = ROOT + "job/";
    public static final String RUN_RECORD_PREFIX = ROOT + "run/";

    /** Sorts after the job keys, so that a paged read delivers the jobs first. */
    public static final String SHARED_RUN_RECORD_PREFIX = ROOT + "runs/";

    public static final String FINAL_STATE_PREFIX = ROOT + "end/";
    public static final String RENTAL_PREFIX = ROOT + "hire/";

    /** State of the rollout of a release that changes the stored format. */
    public static final String ROLLOUT_PREFIX = ROOT + "rollout/";

    /** The record of the stored-state version, a precondition of all writes. */
    public static final String ROLLOUT_VERSION = ROLLOUT_PREFIX + "version";

    /** The release of each controller, for as long as its process is running. */
    public static final String ROLLOUT_MEMBER_PREFIX = ROLLOUT_PREFIX + "member/";

    /** Records in stored-state version 2; sorts after the job keys. */
    public static final String V2_PREFIX = ROOT + "v2/";

    /** The leader key while records in stored-state version 2 may exist. */
    public static final String V2_LEADER = V2_PREFIX + "leader";

    /** A job's run records in stored-state version 2. */
    public static final String V2_RUN_RECORD_PREFIX = V2_PREFIX + "run/";

    private Keys() {}

    /** The key of a job's run record; records are numbered from 0. */
    public static String runRecord(String job, int record) {
        return RUN_RECORD_PREFIX + job + "/" + record;
    }
}
