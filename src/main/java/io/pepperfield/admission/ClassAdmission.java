package io.pepperfield.admission;

import io.pepperfield.admission.RefusedSubmissions.Age;

/** What one controller keeps of one class: its token bucket, its demand and its counts. */
final class ClassAdmission {

    /** Of demand seen before, in the running mean: four intervals. */
    private static final double KEPT = 0.75;

    /** Arrivals come unevenly: what is asked for beyond their mean. */
    private static final double HEADROOM = 1.5;

    /** Jobs that have been refused are to be admitted within so many seconds. */
    private static final double BACKLOG_S = 10;

    final TokenBucket bucket;
    final RetrySchedule retries = new RetrySchedule();
    final MinuteCounter admitted = new MinuteCounter();
    final MinuteCounter refused = new MinuteCounter();

    /** Its demand is not met by its share. */
    boolean limited;

    private int firstSeen;
    private double firstSeenPerMinute;
    private int backlog;
    private int earlierBacklog;

    ClassAdmission(double now) {
        bucket = new TokenBucket(now);
    }

    /** A job of it asks; how it is remembered says whether it has asked before. */
    void asked(Age before) {
        if (before == Age.NEVER) {
            firstSeen++;
        }
    }

    /** A job of it was refused and is remembered from now on. */
    void remembered(Age before) {
        if (before != Age.CURRENT) {
            backlog++;
        }
        if (before == Age.PREVIOUS) {
            earlierBacklog--;
        }
    }

    /** A job of it was admitted, and is not remembered any more. */
    void settled(Age before) {
        if (before == Age.CURRENT) {
            backlog--;
        } else if (before == Age.PREVIOUS) {
            earlierBacklog--;
        }
    }

    /** Those that were not seen again for a generation are forgotten. */
    void rotate() {
        earlierBacklog = backlog;
        backlog = 0;
    }

    /** An interval has ended. */
    void interval(double seconds) {
        double perMinute = firstSeen * AdmissionLimits.SECONDS_PER_MINUTE / seconds;
        firstSeenPerMinute = KEPT * firstSeenPerMinute + (1 - KEPT) * perMinute;
        firstSeen = 0;
    }

    /** Distinct jobs a minute that ask for admission. */
    double demandPerMinute() {
        int waiting = Math.max(0, backlog + earlierBacklog);
        return HEADROOM * firstSeenPerMinute
                + waiting * AdmissionLimits.SECONDS_PER_MINUTE / BACKLOG_S;
    }

    /** Nobody has asked for a while and nothing is counted. */
    boolean idle(double now) {
        return demandPerMinute() < 0.01 && admitted.total(now) == 0 && refused.total(now) == 0;
    }
}
