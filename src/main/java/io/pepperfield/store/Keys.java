package io.pepperfield.store;

/** The names under which the service keeps its state. */
public final class Keys {

    public static final String ROOT = "pepperfield/";
    public static final String LEADER = ROOT + "leader";
    public static final String TYPES = ROOT + "types";
    public static final String JOB = ROOT + "job/";
    public static final String RUN = ROOT + "run/";
    public static final String END = ROOT + "end/";
    public static final String HIRE = ROOT + "hire/";

    private Keys() { }

    public static String run(String job, int chunk) {
        return RUN + job + "/" + chunk;
    }
}
