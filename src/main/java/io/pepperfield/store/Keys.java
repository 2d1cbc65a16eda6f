package io.pepperfield.store;

/** The names under which the service keeps its state. */
public final class Keys {

    public static final String ROOT = "pepperfield/";
    public static final String LEADER = ROOT + "leader";
    public static final String TYPES = ROOT + "types";
    public static final String JOB = ROOT + "job/";
    public static final String RUN = ROOT + "run/";

    /** After the jobs in the order of keys, so that a reading in pages knows them first. */
    public static final String SHARED = ROOT + "runs/";

    public static final String END = ROOT + "end/";
    public static final String HIRE = ROOT + "hire/";

    /** What belongs to the rollout of a release that stores state differently. */
    public static final String ROLLOUT = ROOT + "rollout/";

    /** The record of the stored-state version, by which all writes are guarded. */
    public static final String ROLLOUT_VERSION = ROLLOUT + "version";

    /** A controller's release, while its process lives. */
    public static final String ROLLOUT_MEMBER = ROLLOUT + "member/";

    /** What is stored in the second form; after the jobs in the order of keys. */
    public static final String SECOND = ROOT + "v2/";

    /** The leader key while records may exist in the second form. */
    public static final String SECOND_LEADER = SECOND + "leader";

    /** A job's run records in the second form. */
    public static final String SECOND_RUN = SECOND + "run/";

    private Keys() {}

    /** The key of the run record of one chunk of a job's tasks. */
    public static String run(String job, int chunk) {
        return RUN + job + "/" + chunk;
    }
}
