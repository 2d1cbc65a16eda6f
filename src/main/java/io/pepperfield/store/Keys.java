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

    private Keys() {}

    /** The key of the run record of one chunk of a job's tasks. */
    public static String run(String job, int chunk) {
        return RUN + job + "/" + chunk;
    }
}
