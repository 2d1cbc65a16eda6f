package io.pepperfield.admission;

import io.pepperfield.admission.Allotment.ClassShare;
import io.pepperfield.fencing.FencingToken;
import io.pepperfield.jobs.JobSpec;
import io.pepperfield.jobs.SubmissionPolicy;
import io.pepperfield.loop.Loop;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.function.DoubleSupplier;

/**
 * One controller's decisions about new jobs, in constant time for each. A class whose demand is not
 * met by its share keeps to that share; one whose demand is met, or that the leader has not heard
 * of, uses what the limited ones leave. All together never exceed the controller's fixed share and
 * its allotment.
 */
public final class SubmissionAdmission implements SubmissionPolicy {

    /** What a bucket may save up, in seconds of its rate. */
    private static final double BURST_S = 1;

    /** And at least so much, or what arrives in steps longer than a token's time would be lost. */
    private static final double MIN_BURST = 2;

    /** Of what may be saved up, the part that limited classes leave alone. */
    private static final double BURST_RESERVE_SHARE = 0.25;

    private final Loop loop;
    private final AdmissionLimits limits;
    private final String node;
    private final DoubleSupplier lastConfirmedAt;
    private final double storeUnreachableAfterS;
    private final WorkloadClassRegistry classes = new WorkloadClassRegistry();
    private final AllotmentHolder allotmentHolder;
    private final RetryAfterScheduler retryAdvisor;
    private final StoreBackoff storeBackoff;
    private final TokenBucket totalBucket;
    private double tickedAt;

    /**
     * Creates the admission of one controller, which has its fixed share from now on.
     *
     * @param lastConfirmedAt when the state service last answered, a loop time
     * @param storeUnreachableAfterS after so many seconds without an answer it counts as out
     */
    SubmissionAdmission(
            Loop loop,
            AdmissionLimits limits,
            String node,
            DoubleSupplier lastConfirmedAt,
            double storeUnreachableAfterS) {
        this.loop = loop;
        this.limits = limits;
        this.node = node;
        this.lastConfirmedAt = lastConfirmedAt;
        this.storeUnreachableAfterS = storeUnreachableAfterS;
        double now = loop.now();
        this.allotmentHolder = new AllotmentHolder(node);
        this.retryAdvisor = new RetryAfterScheduler(limits.allotmentDurationS(), now);
        this.storeBackoff = new StoreBackoff(limits.requestIntervalS());
        this.totalBucket = new TokenBucket(now);
        this.tickedAt = now;
        applyRates(now);
    }

    @Override
    public Decision decide(JobSpec job) {
        double now = loop.now();
        expireAllotment(now);
        RetryAfterScheduler.SubmissionAttempt attempt = retryAdvisor.lookUp(job.id(), now);
        WorkloadClassState classAdmission = classes.getOrCreate(WorkloadClass.of(job), now);
        Optional<QueueWait> longQueue =
                allotmentHolder
                        .queueWait(job)
                        .filter(queue -> queue.waitS() > limits.maxPredictedWaitS());
        if (longQueue.isPresent()) {
            // Not counted as demand: a share of the rate would lie idle for it.
            classAdmission.recentRefusals.increment(now);
            return refuseLongQueue(longQueue.get());
        }
        classAdmission.recordRequest(attempt.refusedIn());
        if (now - lastConfirmedAt.getAsDouble() > storeUnreachableAfterS) {
            // What was saved up meanwhile would be spent by everybody's retries in one moment.
            discardTokens(now);
        }
        if (tryAdmit(classAdmission, attempt.dueRetry(), now)) {
            classAdmission.recordAdmitted(attempt.refusedIn());
            retryAdvisor.discard(attempt);
            classAdmission.recentAdmissions.increment(now);
            return ADMITTED;
        }
        classAdmission.recentRefusals.increment(now);
        return refuseOverShare(classAdmission, attempt, now);
    }

    /**
     * Takes a token of all, and of its own of a class that is limited; who comes back when told may
     * take one of its class that is still to come.
     */
    private boolean tryAdmit(WorkloadClassState classAdmission, boolean comesWhenTold, double now) {
        // What nobody else uses would be lost a moment later.
        if (!classAdmission.limited || totalBucket.isFull(now)) {
            return totalBucket.tryTake(now, 0);
        }
        // What is saved up is for the others' bursts: a flood would always have used it up.
        double reserve =
                Math.min(totalBucket.capacity() - 1, BURST_RESERVE_SHARE * totalBucket.capacity());
        double debt = comesWhenTold ? classAdmission.bucket.capacity() : 0;
        if (!classAdmission.bucket.hasToken(now, debt) || !totalBucket.tryTake(now, -reserve)) {
            return false;
        }
        classAdmission.bucket.tryTake(now, debt);
        return true;
    }

    private Decision refuseLongQueue(QueueWait queue) {
        double retryAfterS = Math.ceil(queue.waitS() - limits.maxPredictedWaitS());
        return refuse(
                "the queue of team " + queue.team() + " is longer than the waiting limit",
                Math.min(RetryAfterScheduler.MAX_RETRY_AFTER_S, retryAfterS));
    }

    private Decision refuseOverShare(
            WorkloadClassState classAdmission,
            RetryAfterScheduler.SubmissionAttempt attempt,
            double now) {
        boolean keepsToShare = classAdmission.limited && allotmentHolder.hasAllotment();
        double retryAfterS =
                keepsToShare
                        ? retryAdvisor.scheduleRetry(
                                classAdmission, attempt, totalBucket.ratePerS(), now)
                        : retryAdvisor.retryAfterNextAllotment(classAdmission, attempt);
        return refuse("more is submitted than the share of its class and team", retryAfterS);
    }

    private static Decision refuse(String reason, double retryAfterS) {
        return new Decision.Refused(reason, (int) Math.max(1, Math.ceil(retryAfterS)));
    }

    /** A job was to be created and the state service refused it as beyond its rate. */
    @Override
    public void storeThrottled() {
        double now = loop.now();
        if (storeBackoff.recordThrottled(now)) {
            applyRates(now);
        }
    }

    /**
     * Uses an allotment from now on.
     *
     * @param sentAt when the request that it answers was sent, a loop time
     * @param leaderToken the highest fencing token of a leader that is known here
     */
    void useAllotment(Allotment offered, double sentAt, FencingToken leaderToken) {
        double now = loop.now();
        if (allotmentHolder.offer(offered, sentAt, leaderToken, now)) {
            applyRates(now);
        }
    }

    /** An allotment that has ended leaves the fixed share. */
    private void expireAllotment(double now) {
        if (allotmentHolder.expire(now)) {
            applyRates(now);
        }
    }

    private void applyRates(double now) {
        SortedMap<WorkloadClass, ClassShare> shares =
                allotmentHolder.current().map(Allotment::classes).orElseGet(this::divideFixedShare);
        shares.keySet().forEach(known -> classes.getOrCreate(known, now));
        double factor = storeBackoff.rateFactor(now) / AdmissionLimits.SECONDS_PER_MINUTE;
        classes.forEach(
                (known, classAdmission) -> {
                    ClassShare share = shares.getOrDefault(known, ClassShare.NONE);
                    classAdmission.limited = share.limited();
                    setRate(classAdmission.bucket, share.perMinute() * factor, now);
                });
        setRate(totalBucket, usablePerMinute() * factor, now);
    }

    private static void setRate(TokenBucket bucket, double ratePerS, double now) {
        bucket.setRate(ratePerS, Math.max(MIN_BURST, ratePerS * BURST_S), now);
    }

    /** Without the leader's word the fixed share is divided by what is asked for here alone. */
    private SortedMap<WorkloadClass, ClassShare> divideFixedShare() {
        SortedMap<WorkloadClass, Double> demand = classes.demandPerMinute();
        double rate = limits.fixedPerMinute() * (1 - AllotmentIssuer.NEW_CLASSES_SHARE);
        SortedMap<WorkloadClass, ClassShare> shares = new TreeMap<>();
        FairDivision.divide(rate, demand, limits::teamWeight)
                .forEach(
                        (known, share) ->
                                shares.put(
                                        known,
                                        new ClassShare(
                                                (int) Math.floor(share),
                                                AllotmentIssuer.isUnmet(
                                                        share, demand.get(known)))));
        return shares;
    }

    private void discardTokens(double now) {
        totalBucket.discardTokens(now);
        classes.forEach((known, classAdmission) -> classAdmission.bucket.discardTokens(now));
    }

    /** To be called once an interval. */
    void tick() {
        double now = loop.now();
        expireAllotment(now);
        double seconds = Math.max(limits.requestIntervalS() / 2, now - tickedAt);
        tickedAt = now;
        classes.forEach((known, classAdmission) -> classAdmission.endInterval(seconds));
        if (retryAdvisor.rotateIfDue(now)) {
            classes.rotateGeneration(now);
        }
        applyRates(now);
    }

    /** What the leader is told. */
    DemandReport demandReport(String processIncarnation, long sequence) {
        Optional<Allotment> held = allotmentHolder.current();
        return new DemandReport(
                node,
                processIncarnation,
                sequence,
                held.map(Allotment::fencingToken).orElse(FencingToken.NONE),
                held.map(Allotment::serial).orElse(0L),
                classes.activeDemand(loop.now()));
    }

    /** Admissions per minute that this controller may use now. */
    int admissionsPerMinute() {
        expireAllotment(loop.now());
        return usablePerMinute();
    }

    private int usablePerMinute() {
        return limits.fixedPerMinute()
                + allotmentHolder.current().map(Allotment::extraPerMinute).orElse(0);
    }

    /** Seconds until the allotment in use ends; not finite without one. */
    double allotmentEndsInS() {
        return allotmentHolder.endsInS(loop.now());
    }
}
