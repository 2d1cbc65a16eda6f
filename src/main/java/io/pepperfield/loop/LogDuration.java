package io.pepperfield.loop;

/** Rounds durations for log messages. */
public final class LogDuration {

    private LogDuration() {}

    /** Returns a duration in seconds, rounded to tenths. */
    public static double roundToTenths(double seconds) {
        return Math.round(seconds * 10) / 10.0;
    }
}
