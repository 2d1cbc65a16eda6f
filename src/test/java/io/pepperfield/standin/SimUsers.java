package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The users: they submit, follow and cancel jobs, and check what they are told. */
final class SimUsers {

    /** Answers from here on ask the user to come back. */
    private static final int FIRST_RETRY_STATUS = 429;

    private static final double[] READ_AFTER_WRITE_DELAYS_S = {
        0, 0.001, 0.004, 0.015, 0.06, 0.25, 1, 3
    };

    private final SimWorld world;
    final Map<String, SimJob> jobs;
    final InvalidRequests invalidRequests;
    private final SimUserClient client;
    private final SimUserExpectations expectations;
    private double queryFloodUntil;
    private double readAfterWriteChecksUntil;
    private double cancelAtEndUntil;
    private double cancelAtEndShare;

    /** When all faults are over; only then users expect to be served. */
    double faultsOverAt = Double.POSITIVE_INFINITY;

    private final int nodeCount;

    SimUsers(
            SimWorld world,
            List<String> violations,
            SimMachines machines,
            Map<String, SimJob> jobs,
            PipelineRules rules,
            int nodeCount) {
        this.nodeCount = nodeCount;
        this.world = world;
        this.jobs = jobs;
        this.client = new SimUserClient(world, violations, rules, nodeCount);
        this.invalidRequests = new InvalidRequests(world, client, jobs);
        this.expectations = new SimUserExpectations(world, violations, machines, jobs);
        machines.onJobCompleted = this::onJobEnded;
    }

    // ---- jobs

    void submit(JobPlan plan) {
        SimJob job = new SimJob(plan);
        jobs.put(plan.id(), job);
        repeat(
                job,
                UserRequest.submission(plan),
                () -> {
                    job.accepted = true;
                    job.waitingSince = world.now();
                    poll(job, false);
                    if (plan.cancelAt() < JobPlan.NEVER) {
                        world.at(Math.max(plan.cancelAt(), world.now()), () -> cancel(job));
                    }
                    if (world.now() < readAfterWriteChecksUntil) {
                        checkReadAfterWrite(job);
                        if (world.random.nextInt(8) == 0) {
                            cancel(job);
                        }
                    }
                });
    }

    /**
     * One after the other, each as soon as those that it needs are accepted; the last perhaps only
     * when these are over.
     */
    void submitPipeline(List<JobPlan> plans, boolean lastIsLate) {
        JobPlan next = plans.get(0);
        boolean late = lastIsLate && plans.size() == 1;
        boolean may =
                next.dependencies().stream()
                        .map(jobs::get)
                        .allMatch(job -> late ? job.isFinished() : job.accepted);
        if (may) {
            submit(next);
        }
        List<JobPlan> left = may ? plans.subList(1, plans.size()) : plans;
        if (!left.isEmpty()) {
            world.after(0.1, () -> submitPipeline(left, lastIsLate));
        }
    }

    /** Once, at that node. */
    void cancelAt(SimJob job, int node) {
        job.cancelRequested = true;
        client.sendChecked(job, node, UserRequest.cancellation(job.plan.id()));
    }

    void cancel(SimJob job) {
        job.cancelRequested = true;
        repeat(
                job,
                UserRequest.cancellation(job.plan.id()),
                () -> {
                    if (world.now() < readAfterWriteChecksUntil) {
                        checkReadAfterWrite(job);
                    }
                });
    }

    private void onJobEnded(SimJob job) {
        if (world.now() < cancelAtEndUntil && world.random.nextDouble() < cancelAtEndShare) {
            cancel(job);
        }
        if (world.now() < readAfterWriteChecksUntil) {
            checkReadAfterWrite(job);
        }
    }

    /** As users do: again after a second, at any node, until there is a proper answer. */
    private void repeat(SimJob job, UserRequest request, Runnable done) {
        client.sendChecked(
                job,
                client.randomNode(),
                request,
                status -> {
                    if (status != SimUserClient.NO_ANSWER && status < FIRST_RETRY_STATUS) {
                        done.run();
                    } else {
                        world.after(1, () -> repeat(job, request, done));
                    }
                });
    }

    /**
     * Users may ask at any time, also after the end; a crowd of them stops asking once it is told.
     */
    void poll(SimJob job, boolean untilOver) {
        client.sendChecked(
                job,
                client.randomNode(),
                UserRequest.status(job.plan),
                status -> {
                    if (!untilOver || !job.isFinished()) {
                        world.after(
                                (2 + world.random.nextDouble())
                                        / (world.now() < queryFloodUntil ? 8 : 1),
                                () -> poll(job, untilOver));
                    }
                });
    }

    /**
     * At all nodes again and again, from within a millisecond on; the submission is repeated among
     * the questions.
     */
    private void checkReadAfterWrite(SimJob job) {
        for (double after : READ_AFTER_WRITE_DELAYS_S) {
            world.after(after, () -> queryAllAndSubmitAgain(job));
        }
    }

    private void queryAllAndSubmitAgain(SimJob job) {
        for (int node = 0; node < nodeCount; node++) {
            client.sendChecked(job, node, UserRequest.status(job.plan));
        }
        client.sendChecked(job, client.randomNode(), UserRequest.submission(job.plan));
    }

    // ---- faults that users make

    void queryMoreOften(double until) {
        queryFloodUntil = until;
    }

    void checkReadsAfterWrites(double until) {
        readAfterWriteChecksUntil = Math.max(readAfterWriteChecksUntil, until);
    }

    void cancelAtEnd(double share, double until) {
        cancelAtEndShare = share;
        cancelAtEndUntil = until;
    }

    void cancelAll() {
        jobs.values().stream()
                .filter(job -> job.accepted && !job.lastStatus.equals("done"))
                .toList()
                .forEach(this::cancel);
    }

    /**
     * Cancels up to that many jobs that run, within that time; gives the machines on which they
     * run.
     */
    List<WorkerStandIn> cancelRunning(int count, double withinS) {
        List<SimJob> running =
                new ArrayList<>(
                        jobs.values().stream()
                                .filter(
                                        job ->
                                                job.accepted
                                                        && !job.cancelRequested
                                                        && !job.workersByTask.isEmpty())
                                .toList());
        Collections.shuffle(running, world.random);
        List<SimJob> chosen = running.subList(0, Math.min(count, running.size()));
        chosen.forEach(job -> world.after(withinS * world.random.nextDouble(), () -> cancel(job)));
        return chosen.stream()
                .flatMap(job -> job.workersByTask.values().stream())
                .distinct()
                .toList();
    }

    // ---- what they expect

    /** To be called every second. */
    void check() {
        expectations.check(faultsOverAt);
    }

    /**
     * Jobs that are neither over nor running, and those that waited too long though there was room.
     */
    List<String> leftoverJobs() {
        return expectations.leftoverJobs();
    }

    List<String> unfinishedJobs() {
        return expectations.unfinishedJobs();
    }

    /**
     * Asks every node about every accepted job; what was not answered with 200 within the time that
     * users wait.
     */
    List<String> unansweredQueries() {
        Map<String, SimJob> open = new LinkedHashMap<>();
        for (SimJob job : jobs.values()) {
            for (int node = 0; node < nodeCount && job.accepted; node++) {
                String question = job.plan.id() + " at node " + (node + 1);
                open.put(question, job);
                client.sendChecked(
                        job,
                        node,
                        UserRequest.status(job.plan),
                        status -> {
                            if (status == 200) {
                                open.remove(question);
                            }
                        });
            }
        }
        world.run(world.now() + 3);
        return List.copyOf(open.keySet());
    }
}
