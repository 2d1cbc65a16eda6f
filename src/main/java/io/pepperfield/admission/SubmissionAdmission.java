package io.pepperfield.admission;

import io.pepperfield.admission.Allotment.ClassShare;
import io.pepperfield.admission.DemandReport.ClassDemand;
import io.pepperfield.admission.RefusedSubmissions.Generation;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.SubmissionPolicy;
import io.pepperfield.loop.Loop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One controller's decisions about new jobs, in constant time for each. A class whose demand is not
 * met by its share keeps to that share; one whose demand is met, or that the leader has not heard
 * of, uses what the limited ones leave. All together never exceed the controller's fixed share and
 * its allotment.
 */
public final class SubmissionAdmission implements SubmissionPolicy {

    private static final Logger LOG = LoggerFactory.getLogger(SubmissionAdmission.class);

    /** Users heed a time to come back up to so many seconds. */
    private static final int MAX_RETRY_AFTER_S = 30;

    /** What a bucket may save up, in seconds of its rate. */
    private static final double BURST_S = 1;

    /** And at least so much, or what arrives in steps longer than a token's time would be lost. */
    private static final double MIN_BURST = 2;

    /** Of what may be saved up, the part that limited classes leave alone. */
    private static final double BURST_RESERVE_SHARE = 0.25;

    /** A generation of refused jobs: longer than the longest time that a user is told. */
    private static final double GENERATION_S = MAX_RETRY_AFTER_S + 5;

    /** About a megabyte in all: the heap of a controller is bounded. */
    private static final int MAX_REFUSED_PER_GENERATION = 16_384;

    /** Classes of a team beyond these share one, or made-up names would fill the books. */
    private static final int MAX_CLASSES_PER_TEAM = 16;

    private static final String OVERFLOW_WORKLOAD = "";

    /** The holder's margin on an allotment's end, as on a grant's. */
    private static final double HOLDER_MARGIN = 0.9;

    /**
     * Each interval with a refusal by the state service decreases the rate by a factor, down to a
     * part of it; it recovers with time.
     */
    private static final double MIN_RATE_FACTOR = 0.25;

    private static final double RATE_DECREASE_FACTOR = 0.7;
    private static final double RATE_RECOVERY_S = 10;

    private final Loop loop;
    private final AdmissionLimits limits;
    private final String node;
    private final DoubleSupplier lastConfirmedAt;
    private final double storeUnreachableAfterS;
    private final Map<WorkloadClass, ClassAdmission> classes = new HashMap<>();
    private final Map<String, Integer> classCountByTeam = new HashMap<>();
    private final Map<TeamRank, QueueWait> queueWaits = new HashMap<>();
    private final RefusedSubmissions refusedSubmissions =
            new RefusedSubmissions(MAX_REFUSED_PER_GENERATION);
    private final RetrySchedule burstRetries = new RetrySchedule();
    private final TokenBucket totalBucket;

    /** Why allotments have been ignored, each said once; there are few reasons. */
    private final Set<String> loggedIgnoreReasons = new HashSet<>();

    private Allotment allotment;
    private double allotmentEndsAt = Double.NEGATIVE_INFINITY;
    private int shortRetryOffsetS;
    private double rotatedAt;
    private double tickedAt;
    private double rateFactor = 1;
    private double throttledAt = Double.NEGATIVE_INFINITY;

    /** Whose queue a new job joins. */
    private record TeamRank(String team, JobSpec.Priority rank) {}

    /**
     * @param contactAt when the state service last answered
     * @param contactLostS after so many seconds without an answer it counts as out
     */
    SubmissionAdmission(
            Loop loop,
            AdmissionLimits limits,
            String node,
            DoubleSupplier contactAt,
            double contactLostS) {
        this.loop = loop;
        this.limits = limits;
        this.node = node;
        this.lastConfirmedAt = contactAt;
        this.storeUnreachableAfterS = contactLostS;
        double now = loop.now();
        this.totalBucket = new TokenBucket(now);
        this.rotatedAt = now;
        this.tickedAt = now;
        useFixedShare(now);
    }

    @Override
    public Decision decide(JobSpec job) {
        double now = loop.now();
        expireAllotment(now);
        long fingerprint = RefusedSubmissions.fingerprint(job.id());
        Generation before = refusedSubmissions.generationOf(fingerprint);
        ClassAdmission of = classAdmission(WorkloadClass.of(job), now);
        QueueWait queue = queueWaits.get(new TeamRank(job.team(), job.priority()));
        if (queue != null && queue.waitS() > limits.maxPredictedWaitS()) {
            // Not counted as demand: a share of the rate would lie idle for it.
            of.refusals.increment(now);
            return refuseLongQueue(queue);
        }
        of.recordRequest(before);
        if (now - lastConfirmedAt.getAsDouble() > storeUnreachableAfterS) {
            // What was saved up meanwhile would be spent by everybody's retries in one moment.
            emptyBuckets(now);
        }
        boolean returns =
                before != Generation.NONE && refusedSubmissions.retryAt(fingerprint) <= now;
        if (tryAdmit(of, returns, now)) {
            of.recordAdmitted(before);
            refusedSubmissions.forget(fingerprint);
            of.admissions.increment(now);
            return ADMITTED;
        }
        of.refusals.increment(now);
        return refuseOverShare(of, fingerprint, before, now);
    }

    /**
     * Takes a token of all, and of its own of a class that is limited; who comes back when told may
     * take one of its class that is still to come.
     */
    private boolean tryAdmit(ClassAdmission of, boolean returns, double now) {
        // What nobody else uses would be lost a moment later.
        if (!of.limited || totalBucket.isFull(now)) {
            return totalBucket.tryTake(now, 0);
        }
        // What is saved up is for the others' bursts: a flood would always have used it up.
        double kept =
                Math.min(totalBucket.capacity() - 1, BURST_RESERVE_SHARE * totalBucket.capacity());
        double debt = returns ? of.bucket.capacity() : 0;
        if (!of.bucket.hasToken(now, debt) || !totalBucket.tryTake(now, -kept)) {
            return false;
        }
        of.bucket.tryTake(now, debt);
        return true;
    }

    private Decision refuseLongQueue(QueueWait queue) {
        double tooLong = Math.ceil(queue.waitS() - limits.maxPredictedWaitS());
        return new Decision.Refused(
                "the queue of team " + queue.team() + " is longer than the waiting limit",
                (int) Math.max(1, Math.min(MAX_RETRY_AFTER_S, tooLong)));
    }

    private Decision refuseOverShare(
            ClassAdmission of, long fingerprint, Generation before, double now) {
        boolean lasting = of.limited && hasAllotment();
        double due = lasting ? retryTime(of, fingerprint, now) : Double.POSITIVE_INFINITY;
        if (refusedSubmissions.remember(fingerprint, due)) {
            of.recordRefused(before);
        }
        double afterS = lasting ? Math.min(MAX_RETRY_AFTER_S, due - now) : shortRetryAfterS();
        return new Decision.Refused(
                "more is submitted than the share of its class and team",
                (int) Math.max(1, Math.ceil(afterS)));
    }

    /**
     * When a job of a class that keeps to its share may come back: at the time that it has been
     * told before, or after those that have been told one.
     */
    private double retryTime(ClassAdmission of, long fingerprint, double now) {
        double due = refusedSubmissions.retryAt(fingerprint);
        if (due > now && Double.isFinite(due)) {
            return due;
        }
        // A burst is over as soon as all of it could have been admitted, however small the share of
        // each class is until then: its jobs come back one after the other at the whole rate.
        boolean burst = refusedSubmissions.size() <= MAX_RETRY_AFTER_S * totalBucket.ratePerS();
        RetrySchedule schedule = burst ? burstRetries : of.retrySchedule;
        double ratePerS = burst ? totalBucket.ratePerS() : of.bucket.ratePerS();
        due = schedule.nextFreeAt(now, ratePerS);
        if (due - now > MAX_RETRY_AFTER_S) {
            // So late nobody heeds: asked again then, it gets a time that can be kept.
            return Double.POSITIVE_INFINITY;
        }
        schedule.reserveNext(now, ratePerS);
        return now + Math.ceil(due - now);
    }

    /**
     * Without a leader's word, or for a class whose demand is about to be met, what is refused now
     * fits once the next allotment is there; spread over that time.
     */
    private double shortRetryAfterS() {
        shortRetryOffsetS =
                (shortRetryOffsetS + 1) % (int) Math.ceil(limits.allotmentDurationS() + 1);
        return 1 + shortRetryOffsetS;
    }

    /** A job was to be created and the state service refused it as beyond its rate. */
    @Override
    public void storeThrottled() {
        double now = loop.now();
        if (now - throttledAt >= limits.requestIntervalS()) {
            rateFactor = Math.max(MIN_RATE_FACTOR, rateFactor(now) * RATE_DECREASE_FACTOR);
            throttledAt = now;
            applyRates(now);
        }
    }

    private double rateFactor(double now) {
        return Math.min(1, rateFactor + Math.max(0, now - throttledAt) / RATE_RECOVERY_S);
    }

    // ---- allotments

    /**
     * Uses an allotment from now on.
     *
     * @param sentAt when the request that it answers was sent
     * @param leaderToken the highest leader's token that is known here
     */
    void useAllotment(Allotment offered, double sentAt, FencingToken leaderToken) {
        double now = loop.now();
        double endsAt = sentAt + offered.durationS() * HOLDER_MARGIN;
        String why = ignoreReason(offered, endsAt, leaderToken, now);
        if (why != null) {
            if (loggedIgnoreReasons.add(why)) {
                LOG.warn("an allotment {} is ignored; not said again", why);
            }
            return;
        }
        allotment = offered;
        allotmentEndsAt = endsAt;
        queueWaits.clear();
        offered.queueWaits()
                .forEach(wait -> queueWaits.put(new TeamRank(wait.team(), wait.rank()), wait));
        applyRates(now);
    }

    private String ignoreReason(
            Allotment offered, double endsAt, FencingToken leaderToken, double now) {
        if (!offered.node().equals(node)) {
            return "for another controller";
        }
        if (offered.fencingToken().isOlderThan(leaderToken)) {
            return "of an earlier leader";
        }
        if (allotment != null && !allotment.isBefore(offered)) {
            return "that is not later than the one in use";
        }
        return endsAt <= now ? "that has ended" : null;
    }

    /** An allotment that has ended leaves the fixed share. */
    private void expireAllotment(double now) {
        if (Double.isFinite(allotmentEndsAt) && now >= allotmentEndsAt) {
            useFixedShare(now);
        }
    }

    private void useFixedShare(double now) {
        allotmentEndsAt = Double.NEGATIVE_INFINITY;
        queueWaits.clear();
        applyRates(now);
    }

    private boolean hasAllotment() {
        return Double.isFinite(allotmentEndsAt);
    }

    private void applyRates(double now) {
        SortedMap<WorkloadClass, ClassShare> shares =
                hasAllotment() ? allotment.classes() : divideFixedShare();
        shares.keySet().forEach(known -> classAdmission(known, now));
        double factor = rateFactor(now) / AdmissionLimits.SECONDS_PER_MINUTE;
        for (Map.Entry<WorkloadClass, ClassAdmission> entry : classes.entrySet()) {
            ClassShare share = shares.get(entry.getKey());
            ClassAdmission of = entry.getValue();
            of.limited = share != null && share.limited();
            int classPerMinute = share == null ? 0 : share.perMinute();
            setRate(of.bucket, classPerMinute * factor, now);
        }
        setRate(totalBucket, usablePerMinute() * factor, now);
    }

    private static void setRate(TokenBucket bucket, double ratePerS, double now) {
        bucket.setRate(ratePerS, Math.max(MIN_BURST, ratePerS * BURST_S), now);
    }

    /** Without the leader's word the fixed share is divided by what is asked for here alone. */
    private SortedMap<WorkloadClass, ClassShare> divideFixedShare() {
        SortedMap<WorkloadClass, Double> demand = new TreeMap<>();
        classes.forEach((known, of) -> demand.put(known, of.demandPerMinute()));
        double rate = limits.fixedPerMinute() * (1 - AllotmentIssuer.NEW_CLASSES_SHARE);
        SortedMap<WorkloadClass, Double> divided =
                FairDivision.divide(rate, demand, limits::weight);
        SortedMap<WorkloadClass, ClassShare> shares = new TreeMap<>();
        divided.forEach(
                (known, share) ->
                        shares.put(
                                known,
                                new ClassShare(
                                        (int) Math.floor(share),
                                        AllotmentIssuer.isUnmet(share, demand.get(known)))));
        return shares;
    }

    private void emptyBuckets(double now) {
        totalBucket.discardTokens(now);
        classes.values().forEach(of -> of.bucket.discardTokens(now));
    }

    // ---- demand

    /** To be called once an interval. */
    void tick() {
        double now = loop.now();
        expireAllotment(now);
        double seconds = Math.max(limits.requestIntervalS() / 2, now - tickedAt);
        tickedAt = now;
        classes.values().forEach(of -> of.endInterval(seconds));
        if (now - rotatedAt >= GENERATION_S) {
            rotatedAt = now;
            refusedSubmissions.rotate();
            classes.values().forEach(ClassAdmission::rotateGeneration);
            removeIdleClasses(now);
        }
        applyRates(now);
    }

    private void removeIdleClasses(double now) {
        classes.values().removeIf(of -> of.isIdle(now));
        classCountByTeam.clear();
        classes.keySet().forEach(known -> classCountByTeam.merge(known.team(), 1, Integer::sum));
    }

    private ClassAdmission classAdmission(WorkloadClass asked, double now) {
        ClassAdmission of = classes.get(asked);
        if (of != null) {
            return of;
        }
        WorkloadClass counted = asked;
        if (classCountByTeam.getOrDefault(asked.team(), 0) >= MAX_CLASSES_PER_TEAM) {
            counted = new WorkloadClass(asked.team(), OVERFLOW_WORKLOAD, asked.hasDependencies());
        }
        return classes.computeIfAbsent(
                counted,
                unknown -> {
                    classCountByTeam.merge(unknown.team(), 1, Integer::sum);
                    return new ClassAdmission(now);
                });
    }

    /** What the leader is told. */
    DemandReport demandReport(String process, long sequence) {
        double now = loop.now();
        SortedMap<WorkloadClass, ClassDemand> demands = new TreeMap<>();
        classes.forEach(
                (known, of) -> {
                    if (!of.isIdle(now)) {
                        demands.put(
                                known,
                                new ClassDemand(
                                        of.demandPerMinute(),
                                        of.admissions.total(now),
                                        of.refusals.total(now)));
                    }
                });
        FencingToken token = hasAllotment() ? allotment.fencingToken() : FencingToken.NONE;
        return new DemandReport(
                node, process, sequence, token, hasAllotment() ? allotment.serial() : 0, demands);
    }

    /** Admissions per minute that this controller may use now. */
    int admissionsPerMinute() {
        expireAllotment(loop.now());
        return usablePerMinute();
    }

    private int usablePerMinute() {
        return limits.fixedPerMinute() + (hasAllotment() ? allotment.extraPerMinute() : 0);
    }

    /** Seconds until the allotment in use ends; not finite without one. */
    double allotmentEndsInS() {
        return allotmentEndsAt - loop.now();
    }
}
