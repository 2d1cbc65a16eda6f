package io.pepperfield.store;

/** The names under which the service keeps its state. */
public final class Keys {

    public static final String ROOT = "pepperfield/";
    public static final String LEADER = ROOT + "leader";
    public static final String MACHINE_TYPES = ROOT + "types";
    public static final String JOB_PREFIX = ROOT + "job/";
    public static final String RUN_RECORD_PREFIX = ROOT + "run/";

    /** After the jobs in the order of keys, so that a reading in pages knows them first. */
    public static final String SHARED_RUN_RECORD_PREFIX = ROOT + "runs/";

    public static final String FINAL_STATE_PREFIX = ROOT + "end/";
    public static final String RENTAL_PREFIX = ROOT + "hire/";

    /** What belongs to the rollout of a release that stores state differently. */
    public static final String ROLLOUT_PREFIX = ROOT + "rollout/";

    /** The record of the stored-state version, a precondition of all writes. */
    public static final String ROLLOUT_VERSION = ROLLOUT_PREFIX + "version";

    /** A controller's release, while its process lives. */
    public static final String ROLLOUT_MEMBER_PREFIX = ROLLOUT_PREFIX + "member/";

    /** What is stored in the second form; after the jobs in the order of keys. */
    public static final String V2_PREFIX = ROOT + "v2/";

    /** The leader key while records may exist in the second form. */
    public static final String V2_LEADER = V2_PREFIX + "leader";

    /** A job's run records in the second form. */
    public static final String V2_RUN_RECORD_PREFIX = V2_PREFIX + "run/";

    private Keys() {}

    /** The key of one of a job's run records, by the record's number from 0. */
    public static String runRecord(String job, int record) {
        return RUN_RECORD_PREFIX + job + "/" + record;
    }
}
