package io.pepperfield.standin;

import io.pepperfield.http.HttpReply;
import io.pepperfield.http.Json;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Users that submit one-task jobs at a rate, each for up to a minute, and what became of it. Also
 * watches that the controllers together may never admit more than there is.
 */
public final class AdmissionLoad {

    private static final double GIVE_UP_S = 60;
    private static final int MAX_HEEDED_RETRY_S = 30;
    private static final int FIRST_ID = 100_000;
    private static final double WATCH_S = 0.05;

    /**
     * Who submits.
     *
     * @param ignoresRetryAfter retries after a second, whatever it is told
     */
    public record Stream(
            String team, String workload, double jobsPerS, boolean ignoresRetryAfter) {}

    /** One submission; {@code acceptedAt} is infinite while it is not accepted. */
    public static final class Submission {
        public final String team;
        public final String workload;
        public final double firstSentAt;
        public double acceptedAt = Double.POSITIVE_INFINITY;

        Submission(Stream stream, double firstAt) {
            this.team = stream.team;
            this.workload = stream.workload;
            this.firstSentAt = firstAt;
        }

        public double acceptanceDelayS() {
            return acceptedAt - firstSentAt;
        }
    }

    private final SimWorld world;
    private final SimUsers users;
    private final List<SimNode> nodes;
    private final List<Submission> submissions = new ArrayList<>();
    private final List<String> overAllotted = new ArrayList<>();
    private int ids = FIRST_ID;

    /** Which node a submission goes to. */
    public IntSupplier nodeChooser;

    AdmissionLoad(SimWorld world, SimUsers users, List<SimNode> nodes) {
        this.world = world;
        this.users = users;
        this.nodes = nodes;
        this.nodeChooser = () -> world.random.nextInt(nodes.size());
    }

    /** Submits at that rate until then. */
    public void submit(Stream stream, double until) {
        if (world.now() >= until) {
            return;
        }
        JobPlan plan =
                JobPlan.array(
                        ids++,
                        stream.workload,
                        stream.team,
                        stream.workload.equals("flood") ? "best_effort" : "standard",
                        1,
                        0.25,
                        List.of(1 + world.random.nextDouble()),
                        true);
        Submission submission = new Submission(stream, world.now());
        submissions.add(submission);
        ask(new SimJob(plan), submission, stream.ignoresRetryAfter);
        world.after(1 / stream.jobsPerS, () -> submit(stream, until));
    }

    private void ask(SimJob job, Submission submission, boolean heedless) {
        if (world.now() - submission.firstSentAt > GIVE_UP_S
                || Double.isFinite(submission.acceptedAt)) {
            return;
        }
        // The description must be there before a worker may ask for it.
        users.jobs.putIfAbsent(job.plan.id(), job);
        SimNode to = nodes.get(nodeChooser.getAsInt());
        boolean[] answered = new boolean[1];
        if (to.alive()) {
            to.request(
                    "users",
                    "POST",
                    "/api/jobs",
                    Json.write(job.plan.body()),
                    reply -> {
                        if (!answered[0]) {
                            answered[0] = true;
                            answered(job, submission, heedless, reply);
                        }
                    });
        }
        world.after(
                to.alive() ? 5 : 0.5,
                () -> {
                    if (!answered[0]) {
                        answered[0] = true;
                        ask(job, submission, heedless);
                    }
                });
    }

    private void answered(SimJob job, Submission submission, boolean heedless, HttpReply reply) {
        if (reply.status() == 201 || reply.status() == 200) {
            submission.acceptedAt = world.now();
            job.accepted = true;
            job.lastAnswerAt = world.now();
            job.waitingSince = world.now();
            users.poll(job, true);
            return;
        }
        double wait = Math.max(1, Math.min(MAX_HEEDED_RETRY_S, reply.retryAfterS()));
        world.after(heedless ? 1 : wait, () -> ask(job, submission, heedless));
    }

    /** Watches from now on that all controllers together keep the rate. */
    public void watchTotalRate(int allPerMinute) {
        int sum = nodes.stream().mapToInt(SimNode::admissionsPerMinute).sum();
        if (sum > allPerMinute) {
            overAllotted.add(world.now() + ": " + sum + " of " + allPerMinute);
        }
        world.after(WATCH_S, () -> watchTotalRate(allPerMinute));
    }

    /** When more could have been admitted than the rate; empty where that never was. */
    public List<String> rateViolations() {
        return overAllotted;
    }

    public List<Submission> submissionsOf(String team) {
        return submissions.stream().filter(one -> one.team.equals(team)).toList();
    }

    /** How many jobs of each team were accepted between two times. */
    public Map<String, Integer> acceptedByTeam(double from, double until) {
        Map<String, Integer> counts = new HashMap<>();
        for (Submission one : submissions) {
            if (one.acceptedAt >= from && one.acceptedAt < until) {
                counts.merge(one.team, 1, Integer::sum);
            }
        }
        return counts;
    }

    /** The most that was accepted in any window of that length. */
    public int maxAcceptedWithin(double seconds) {
        List<Double> times =
                submissions.stream()
                        .map(one -> one.acceptedAt)
                        .filter(Double::isFinite)
                        .sorted()
                        .toList();
        int most = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) > seconds) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    /** What one controller may admit a minute now. */
    public int admissionsPerMinute(int index) {
        return nodes.get(index).admissionsPerMinute();
    }
}
