package io.pepperfield.admission;

import io.pepperfield.admission.Allotment.ClassShare;
import io.pepperfield.admission.DemandReport.ClassDemand;
import io.pepperfield.admission.RefusedSubmissions.Age;
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
    private static final int MOST_RETRY_AFTER_S = 30;

    /** What a bucket may save up, in seconds of its rate. */
    private static final double BURST_S = 1;

    /** And at least so much, or what arrives in steps longer than a token's time would be lost. */
    private static final double LEAST_BURST = 2;

    /** Of what may be saved up, the part that limited classes leave alone. */
    private static final double KEPT_FOR_OTHERS = 0.25;

    /** A generation of refused jobs: longer than the longest time that a user is told. */
    private static final double GENERATION_S = MOST_RETRY_AFTER_S + 5;

    /** About a megabyte in all: the heap of a controller is bounded. */
    private static final int MOST_REFUSED = 16_384;

    /** Classes of a team beyond these share one, or made-up names would fill the books. */
    private static final int MOST_CLASSES_OF_TEAM = 16;

    private static final String OTHERS = "";

    /** The holder's margin on an allotment's end, as on a grant's. */
    private static final double HOLDER_MARGIN = 0.9;

    /**
     * Each interval with a refusal by the state service decreases the rate by a factor, down to a
     * part of it; it recovers with time.
     */
    private static final double LEAST_BACKOFF = 0.25;

    private static final double DECREASE = 0.7;
    private static final double RECOVERY_S = 10;

    private final Loop loop;
    private final AdmissionLimits limits;
    private final String node;
    private final DoubleSupplier contactAt;
    private final double contactLostS;
    private final Map<WorkloadClass, ClassAdmission> classes = new HashMap<>();
    private final Map<String, Integer> classesOfTeam = new HashMap<>();
    private final Map<TeamRank, QueueWait> waits = new HashMap<>();
    private final RefusedSubmissions refused = new RefusedSubmissions(MOST_REFUSED);
    private final RetrySchedule burstRetries = new RetrySchedule();
    private final TokenBucket total;

    /** Why allotments have been ignored, each said once; there are few reasons. */
    private final Set<String> ignored = new HashSet<>();

    private Allotment allotment;
    private double allotmentEndsAt = Double.NEGATIVE_INFINITY;
    private int soon;
    private double rotatedAt;
    private double tickedAt;
    private double backoff = 1;
    private double throttledAt = Double.NEGATIVE_INFINITY;

    /** Whose queue a new job joins. */
    private record TeamRank(String team, JobSpec.Rank rank) {}

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
        this.contactAt = contactAt;
        this.contactLostS = contactLostS;
        double now = loop.now();
        this.total = new TokenBucket(now);
        this.rotatedAt = now;
        this.tickedAt = now;
        useFixedShare(now);
    }

    @Override
    public Decision decide(JobSpec job) {
        double now = loop.now();
        expire(now);
        long fingerprint = RefusedSubmissions.fingerprint(job.id());
        Age before = refused.age(fingerprint);
        ClassAdmission of = classAdmission(WorkloadClass.of(job), now);
        QueueWait queue = waits.get(new TeamRank(job.team(), job.rank()));
        if (queue != null && queue.waitS() > limits.waitingLimitS()) {
            // Not counted as demand: a share of the rate would lie idle for it.
            of.refused.add(now);
            return queueTooLong(queue);
        }
        of.asked(before);
        if (now - contactAt.getAsDouble() > contactLostS) {
            // What was saved up meanwhile would be spent by everybody's retries in one moment.
            empty(now);
        }
        boolean returns = before != Age.NEVER && refused.dueAt(fingerprint) <= now;
        if (take(of, returns, now)) {
            of.settled(before);
            refused.forget(fingerprint);
            of.admitted.add(now);
            return ADMITTED;
        }
        of.refused.add(now);
        return comeBack(of, fingerprint, before, now);
    }

    /**
     * Takes a token of all, and of its own of a class that is limited; who comes back when told may
     * take one of its class that is still to come.
     */
    private boolean take(ClassAdmission of, boolean returns, double now) {
        // What nobody else uses would be lost a moment later.
        if (!of.limited || total.isFull(now)) {
            return total.takeIf(now, 0);
        }
        // What is saved up is for the others' bursts: a flood would always have used it up.
        double kept = Math.min(total.capacity() - 1, KEPT_FOR_OTHERS * total.capacity());
        double debt = returns ? of.bucket.capacity() : 0;
        if (!of.bucket.has(now, debt) || !total.takeIf(now, -kept)) {
            return false;
        }
        of.bucket.takeIf(now, debt);
        return true;
    }

    private Decision queueTooLong(QueueWait queue) {
        double tooLong = Math.ceil(queue.waitS() - limits.waitingLimitS());
        return new Decision.Refused(
                "the queue of team " + queue.team() + " is longer than the waiting limit",
                (int) Math.max(1, Math.min(MOST_RETRY_AFTER_S, tooLong)));
    }

    private Decision comeBack(ClassAdmission of, long fingerprint, Age before, double now) {
        boolean lasting = of.limited && allotted();
        double due = lasting ? ticket(of, fingerprint, now) : Double.POSITIVE_INFINITY;
        if (refused.remember(fingerprint, due)) {
            of.remembered(before);
        }
        double afterS = lasting ? Math.min(MOST_RETRY_AFTER_S, due - now) : soonS();
        return new Decision.Refused(
                "more is submitted than the share of its class and team",
                (int) Math.max(1, Math.ceil(afterS)));
    }

    /**
     * When a job of a class that keeps to its share may come back: at the time that it has been
     * told before, or after those that have been told one.
     */
    private double ticket(ClassAdmission of, long fingerprint, double now) {
        double due = refused.dueAt(fingerprint);
        if (due > now && Double.isFinite(due)) {
            return due;
        }
        // A burst is over as soon as all of it could have been admitted, however small the share of
        // each class is until then: its jobs come back one after the other at the whole rate.
        boolean burst = refused.size() <= MOST_RETRY_AFTER_S * total.ratePerS();
        RetrySchedule schedule = burst ? burstRetries : of.retries;
        double ratePerS = burst ? total.ratePerS() : of.bucket.ratePerS();
        due = schedule.next(now, ratePerS);
        if (due - now > MOST_RETRY_AFTER_S) {
            // So late nobody heeds: asked again then, it gets a time that can be kept.
            return Double.POSITIVE_INFINITY;
        }
        schedule.give(now, ratePerS);
        return now + Math.ceil(due - now);
    }

    /**
     * Without a leader's word, or for a class whose demand is about to be met, what is refused now
     * fits once the next allotment is there; spread over that time.
     */
    private double soonS() {
        soon = (soon + 1) % (int) Math.ceil(limits.durationS() + 1);
        return 1 + soon;
    }

    /** A job was to be created and the state service refused it as beyond its rate. */
    @Override
    public void throttled() {
        double now = loop.now();
        if (now - throttledAt >= limits.intervalS()) {
            backoff = Math.max(LEAST_BACKOFF, backoff(now) * DECREASE);
            throttledAt = now;
            applyRates(now);
        }
    }

    private double backoff(double now) {
        return Math.min(1, backoff + Math.max(0, now - throttledAt) / RECOVERY_S);
    }

    // ---- allotments

    /**
     * Uses an allotment from now on.
     *
     * @param sentAt when the request that it answers was sent
     * @param leaderToken the highest leader's token that is known here
     */
    void use(Allotment offered, double sentAt, long leaderToken) {
        double now = loop.now();
        double endsAt = sentAt + offered.durationS() * HOLDER_MARGIN;
        String why = whyIgnored(offered, endsAt, leaderToken, now);
        if (why != null) {
            if (ignored.add(why)) {
                LOG.warn("an allotment {} is ignored; not said again", why);
            }
            return;
        }
        allotment = offered;
        allotmentEndsAt = endsAt;
        waits.clear();
        offered.waits().forEach(wait -> waits.put(new TeamRank(wait.team(), wait.rank()), wait));
        applyRates(now);
    }

    private String whyIgnored(Allotment offered, double endsAt, long leaderToken, double now) {
        if (!offered.node().equals(node)) {
            return "for another controller";
        }
        if (offered.token() < leaderToken) {
            return "of an earlier leader";
        }
        if (allotment != null && !allotment.isBefore(offered)) {
            return "that is not later than the one in use";
        }
        return endsAt <= now ? "that has ended" : null;
    }

    /** An allotment that has ended leaves the fixed share. */
    private void expire(double now) {
        if (Double.isFinite(allotmentEndsAt) && now >= allotmentEndsAt) {
            useFixedShare(now);
        }
    }

    private void useFixedShare(double now) {
        allotmentEndsAt = Double.NEGATIVE_INFINITY;
        waits.clear();
        applyRates(now);
    }

    private boolean allotted() {
        return Double.isFinite(allotmentEndsAt);
    }

    private void applyRates(double now) {
        SortedMap<WorkloadClass, ClassShare> shares =
                allotted() ? allotment.classes() : sharesOfFixed();
        shares.keySet().forEach(known -> classAdmission(known, now));
        double factor = backoff(now) / AdmissionLimits.SECONDS_PER_MINUTE;
        for (Map.Entry<WorkloadClass, ClassAdmission> entry : classes.entrySet()) {
            ClassShare share = shares.get(entry.getKey());
            ClassAdmission of = entry.getValue();
            of.limited = share != null && share.limited();
            int classPerMinute = share == null ? 0 : share.perMinute();
            setRate(of.bucket, classPerMinute * factor, now);
        }
        setRate(total, usablePerMinute() * factor, now);
    }

    private static void setRate(TokenBucket bucket, double ratePerS, double now) {
        bucket.rate(ratePerS, Math.max(LEAST_BURST, ratePerS * BURST_S), now);
    }

    /** Without the leader's word the fixed share is divided by what is asked for here alone. */
    private SortedMap<WorkloadClass, ClassShare> sharesOfFixed() {
        SortedMap<WorkloadClass, Double> demand = new TreeMap<>();
        classes.forEach((known, of) -> demand.put(known, of.demandPerMinute()));
        double rate = limits.fixedPerMinute() * (1 - AllotmentIssuer.NEWCOMERS_SHARE);
        SortedMap<WorkloadClass, Double> divided =
                FairDivision.divide(rate, demand, limits::weight);
        SortedMap<WorkloadClass, ClassShare> shares = new TreeMap<>();
        divided.forEach(
                (known, share) ->
                        shares.put(
                                known,
                                new ClassShare(
                                        (int) Math.floor(share),
                                        AllotmentIssuer.unmet(share, demand.get(known)))));
        return shares;
    }

    private void empty(double now) {
        total.empty(now);
        classes.values().forEach(of -> of.bucket.empty(now));
    }

    // ---- demand

    /** To be called once an interval. */
    void tick() {
        double now = loop.now();
        expire(now);
        double seconds = Math.max(limits.intervalS() / 2, now - tickedAt);
        tickedAt = now;
        classes.values().forEach(of -> of.interval(seconds));
        if (now - rotatedAt >= GENERATION_S) {
            rotatedAt = now;
            refused.rotate();
            classes.values().forEach(ClassAdmission::rotate);
            forgetIdle(now);
        }
        applyRates(now);
    }

    private void forgetIdle(double now) {
        classes.values().removeIf(of -> of.idle(now));
        classesOfTeam.clear();
        classes.keySet().forEach(known -> classesOfTeam.merge(known.team(), 1, Integer::sum));
    }

    private ClassAdmission classAdmission(WorkloadClass asked, double now) {
        ClassAdmission of = classes.get(asked);
        if (of != null) {
            return of;
        }
        WorkloadClass counted = asked;
        if (classesOfTeam.getOrDefault(asked.team(), 0) >= MOST_CLASSES_OF_TEAM) {
            counted = new WorkloadClass(asked.team(), OTHERS, asked.dependent());
        }
        return classes.computeIfAbsent(
                counted,
                unknown -> {
                    classesOfTeam.merge(unknown.team(), 1, Integer::sum);
                    return new ClassAdmission(now);
                });
    }

    /** What the leader is told. */
    DemandReport report(String process, long sequence) {
        double now = loop.now();
        SortedMap<WorkloadClass, ClassDemand> demands = new TreeMap<>();
        classes.forEach(
                (known, of) -> {
                    if (!of.idle(now)) {
                        demands.put(
                                known,
                                new ClassDemand(
                                        of.demandPerMinute(),
                                        of.admitted.total(now),
                                        of.refused.total(now)));
                    }
                });
        long token = allotted() ? allotment.token() : 0;
        return new DemandReport(
                node, process, sequence, token, allotted() ? allotment.serial() : 0, demands);
    }

    /** Admissions per minute that this controller may use now. */
    int perMinute() {
        expire(loop.now());
        return usablePerMinute();
    }

    private int usablePerMinute() {
        return limits.fixedPerMinute() + (allotted() ? allotment.extraPerMinute() : 0);
    }

    /** Seconds until the allotment in use ends; not finite without one. */
    double endsInS() {
        return allotmentEndsAt - loop.now();
    }
}
