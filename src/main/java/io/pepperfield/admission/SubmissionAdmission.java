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
 * One controller's admission decisions, each in constant time. A class whose share does not meet
 * its demand is limited to that share. All other classes, including those that the leader has no
 * report of, use the capacity that the limited classes leave. All classes together never exceed the
 * controller's fixed share and its allotment.
 */
public final class SubmissionAdmission implements SubmissionPolicy {

    /** Capacity of a token bucket, in seconds of its rate. */
    private static final double BURST_S = 1;

    /**
     * Minimum capacity of a token bucket; with less, tokens would be lost if the loop time advances
     * in steps longer than the time between two tokens.
     */
    private static final double MIN_BURST_TOKENS = 2;

    /** Fraction of the total bucket that limited classes leave for bursts of other classes. */
    private static final double BURST_RESERVE_SHARE = 0.25;

    private final Loop loop;
    private final AdmissionLimits limits;
    private final String node;
    private final DoubleSupplier lastConfirmedAt;
    private final double storeUnreachableAfterS;
    private final WorkloadClassRegistry classes = new WorkloadClassRegistry();
    private final AllotmentHolder allotmentHolder;
    private final RetryAfterScheduler retryAfterScheduler;
    private final StoreBackoff storeBackoff;
    private final TokenBucket totalBucket;
    private double tickedAt;

    /**
     * Creates the admission of one controller, which starts with its fixed share.
     *
     * @param lastConfirmedAt loop time at which the state service last answered
     * @param storeUnreachableAfterS seconds without an answer after which the state service counts
     *     as unreachable
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
        this.retryAfterScheduler = new RetryAfterScheduler(limits.allotmentDurationS(), now);
        this.storeBackoff = new StoreBackoff(limits.requestIntervalS());
        this.totalBucket = new TokenBucket(now);
        this.tickedAt = now;
        applyRates(now);
    }

    @Override
    public Decision decide(JobSpec job) {
        double now = loop.now();
        expireAllotment(now);
        RetryAfterScheduler.SubmissionAttempt attempt = retryAfterScheduler.lookUp(job.id(), now);
        WorkloadClassState classState = classes.getOrCreate(WorkloadClass.of(job), now);
        Optional<QueueWait> queueBeyondLimit =
                allotmentHolder
                        .queueWait(job)
                        .filter(queue -> queue.waitS() > limits.maxPredictedWaitS());
        if (queueBeyondLimit.isPresent()) {
            // Not counted as demand: the class would get a share of the rate that it could not use.
            classState.recentRefusals.increment(now);
            return refuseLongQueue(queueBeyondLimit.get());
        }
        classState.recordRequest(attempt.refusedIn());
        if (now - lastConfirmedAt.getAsDouble() > storeUnreachableAfterS) {
            // Otherwise the retries of all clients would spend the accumulated tokens at once.
            discardTokens(now);
        }
        if (tryAdmit(classState, attempt.dueRetry(), now)) {
            classState.recordAdmitted(attempt.refusedIn());
            retryAfterScheduler.discard(attempt);
            classState.recentAdmissions.increment(now);
            return ADMITTED;
        }
        classState.recentRefusals.increment(now);
        return refuseOverShare(classState, attempt, now);
    }

    /**
     * Takes a token from the total bucket and, for a limited class, one from the class's bucket. A
     * retry that is due may overdraw the class's bucket by up to its capacity.
     */
    private boolean tryAdmit(WorkloadClassState classState, boolean dueRetry, double now) {
        // A full total bucket would lose its next tokens, so a limited class may take one as well.
        if (!classState.limited || totalBucket.isFull(now)) {
            return totalBucket.tryTake(now, 0);
        }
        // Without the reserve a flood would leave no tokens for bursts of other classes.
        double reserve =
                Math.min(totalBucket.capacity() - 1, BURST_RESERVE_SHARE * totalBucket.capacity());
        double debt = dueRetry ? classState.bucket.capacity() : 0;
        if (!classState.bucket.hasToken(now, debt) || !totalBucket.tryTake(now, -reserve)) {
            return false;
        }
        classState.bucket.tryTake(now, debt);
        return true;
    }

    private Decision refuseLongQueue(QueueWait queue) {
        double retryAfterS = Math.ceil(queue.waitS() - limits.maxPredictedWaitS());
        return refuse(
                "the queue of team " + queue.team() + " is longer than the waiting limit",
                Math.min(RetryAfterScheduler.MAX_RETRY_AFTER_S, retryAfterS));
    }

    private Decision refuseOverShare(
            WorkloadClassState classState,
            RetryAfterScheduler.SubmissionAttempt attempt,
            double now) {
        boolean limitedByAllotment = classState.limited && allotmentHolder.hasAllotment();
        double retryAfterS =
                limitedByAllotment
                        ? retryAfterScheduler.scheduleRetry(
                                classState, attempt, totalBucket.ratePerS(), now)
                        : retryAfterScheduler.retryAfterNextAllotment(classState, attempt);
        return refuse("more is submitted than the share of its class and team", retryAfterS);
    }

    private static Decision refuse(String reason, double retryAfterS) {
        return new Decision.Refused(reason, (int) Math.max(1, Math.ceil(retryAfterS)));
    }

    /** Lowers the admission rate after the state service has throttled the creation of a job. */
    @Override
    public void storeThrottled() {
        double now = loop.now();
        if (storeBackoff.recordThrottled(now)) {
            applyRates(now);
        }
    }

    /**
     * Starts to use an allotment, unless it must be ignored.
     *
     * @param sentAt loop time at which the request for this allotment was sent
     * @param leaderToken the highest fencing token that this controller has seen
     */
    void useAllotment(Allotment offered, double sentAt, FencingToken leaderToken) {
        double now = loop.now();
        if (allotmentHolder.offer(offered, sentAt, leaderToken, now)) {
            applyRates(now);
        }
    }

    /** Falls back to the fixed share if the allotment in use has expired. */
    private void expireAllotment(double now) {
        if (allotmentHolder.expire(now)) {
            applyRates(now);
        }
    }

    private void applyRates(double now) {
        SortedMap<WorkloadClass, ClassShare> shares =
                allotmentHolder.current().map(Allotment::classes).orElseGet(this::divideFixedShare);
        shares.keySet().forEach(workloadClass -> classes.getOrCreate(workloadClass, now));
        double factor = storeBackoff.rateFactor(now) / AdmissionLimits.SECONDS_PER_MINUTE;
        classes.forEach(
                (workloadClass, classState) -> {
                    ClassShare share = shares.getOrDefault(workloadClass, ClassShare.NONE);
                    classState.limited = share.limited();
                    setRate(classState.bucket, share.perMinute() * factor, now);
                });
        setRate(totalBucket, usablePerMinute() * factor, now);
    }

    private static void setRate(TokenBucket bucket, double ratePerS, double now) {
        bucket.setRate(ratePerS, Math.max(MIN_BURST_TOKENS, ratePerS * BURST_S), now);
    }

    /** Divides the fixed share by the local demand, for the time without an allotment. */
    private SortedMap<WorkloadClass, ClassShare> divideFixedShare() {
        SortedMap<WorkloadClass, Double> demand = classes.demandPerMinute();
        double rate = limits.fixedPerMinute() * (1 - AllotmentIssuer.NEW_CLASSES_SHARE);
        SortedMap<WorkloadClass, ClassShare> shares = new TreeMap<>();
        FairDivision.divide(rate, demand, limits::teamWeight)
                .forEach(
                        (workloadClass, share) ->
                                shares.put(
                                        workloadClass,
                                        new ClassShare(
                                                (int) Math.floor(share),
                                                AllotmentIssuer.isUnmet(
                                                        share, demand.get(workloadClass)))));
        return shares;
    }

    private void discardTokens(double now) {
        totalBucket.discardTokens(now);
        classes.forEach((workloadClass, classState) -> classState.bucket.discardTokens(now));
    }

    /** Updates demand and rates; to be called once per request interval. */
    void tick() {
        double now = loop.now();
        expireAllotment(now);
        double seconds = Math.max(limits.requestIntervalS() / 2, now - tickedAt);
        tickedAt = now;
        classes.forEach((workloadClass, classState) -> classState.endInterval(seconds));
        if (retryAfterScheduler.rotateIfDue(now)) {
            classes.rotateGeneration(now);
        }
        applyRates(now);
    }

    /** Returns the demand report for the leader. */
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

    /** Returns the admission rate that this controller may currently use, per minute. */
    int admissionsPerMinute() {
        expireAllotment(loop.now());
        return usablePerMinute();
    }

    private int usablePerMinute() {
        return limits.fixedPerMinute()
                + allotmentHolder.current().map(Allotment::extraPerMinute).orElse(0);
    }

    /** Returns the seconds until the allotment in use expires; not finite without one. */
    double allotmentEndsInS() {
        return allotmentHolder.endsInS(loop.now());
    }
}
