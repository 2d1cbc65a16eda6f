package io.pepperfield.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pepperfield.http.HttpOutcome;
import io.pepperfield.http.Json;
import io.pepperfield.http.OutboundRequest;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** The users: they submit, follow and cancel jobs, and check what they are told. */
final class SimUsers {

    /** Ids from here on are never accepted. */
    private static final int FIRST_REFUSABLE_ID = 900_000;

    private static final double[] READ_AFTER_WRITE_DELAYS_S = {
        0, 0.001, 0.004, 0.015, 0.06, 0.25, 1, 3
    };

    private final SimWorld world;
    private final List<String> violations;
    private final SimMachines machines;
    final Map<String, SimJob> jobs;
    private final PipelineRules rules;
    private final SimUserExpectations expectations;
    private double queryFloodUntil;
    private double readAfterWriteChecksUntil;
    private double cancelAtEndUntil;
    private double cancelAtEndShare;
    private int nextRefusableId = FIRST_REFUSABLE_ID;

    /** When all troubles are over; only then users expect to be served. */
    double calmAt = Double.POSITIVE_INFINITY;

    private final int nodeCount;

    SimUsers(
            SimWorld world,
            List<String> broken,
            SimMachines machines,
            Map<String, SimJob> jobs,
            PipelineRules rules,
            int nodeCount) {
        this.nodeCount = nodeCount;
        this.world = world;
        this.violations = broken;
        this.machines = machines;
        this.jobs = jobs;
        this.rules = rules;
        this.expectations = new SimUserExpectations(world, broken, machines, jobs);
        machines.onJobCompleted = this::onJobEnded;
    }

    private void violation(String what) {
        violations.add(world.now() + " " + what);
    }

    // ---- jobs

    void submit(JobPlan plan) {
        SimJob job = new SimJob(plan);
        jobs.put(plan.id(), job);
        repeat(
                job,
                "POST",
                "/api/jobs",
                Json.write(plan.body()),
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
                        .allMatch(job -> late ? job.isOver() : job.accepted);
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
        job.cancelAsked = true;
        String path = "/api/jobs/" + job.plan.id() + "/cancel";
        ask(job, node, "POST", path, new byte[0], 5000, status -> {});
    }

    void cancel(SimJob job) {
        job.cancelAsked = true;
        repeat(
                job,
                "POST",
                "/api/jobs/" + job.plan.id() + "/cancel",
                new byte[0],
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
    private void repeat(SimJob job, String method, String path, byte[] body, Runnable done) {
        ask(
                job,
                randomNode(),
                method,
                path,
                body,
                5000,
                status -> {
                    if (status > 0 && status < 429) {
                        done.run();
                    } else {
                        world.after(1, () -> repeat(job, method, path, body, done));
                    }
                });
    }

    /**
     * Users may ask at any time, also after the end; a crowd of them stops asking once it is told.
     */
    void poll(SimJob job, boolean untilOver) {
        ask(
                job,
                randomNode(),
                "GET",
                "/api/jobs/" + job.plan.id(),
                null,
                2000,
                status -> {
                    if (!untilOver || !job.isOver()) {
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
            world.after(
                    after,
                    () -> {
                        for (int node = 0; node < nodeCount; node++) {
                            ask(
                                    job,
                                    node,
                                    "GET",
                                    "/api/jobs/" + job.plan.id(),
                                    null,
                                    2000,
                                    status -> {});
                        }
                        ask(
                                job,
                                randomNode(),
                                "POST",
                                "/api/jobs",
                                Json.write(job.plan.body()),
                                5000,
                                status -> {});
                    });
        }
    }

    private int randomNode() {
        return world.random.nextInt(nodeCount);
    }

    /**
     * Asks a node about a job, checks the answer, and goes on with its status, or 0 where none
     * came.
     */
    private void ask(
            SimJob job,
            int node,
            String method,
            String path,
            byte[] body,
            long deadlineMs,
            Consumer<Integer> then) {
        boolean accepted = job.accepted;
        String before = job.lastStatus;
        double askedAt = world.now();
        double ancestorCancelledAt = rules.ancestorCancelledAt(job);
        String asked =
                path.replace("/api/jobs", method) + " at " + world.now() + " from node-" + node;
        send(
                node,
                method,
                path,
                body,
                deadlineMs,
                answer -> {
                    if (answer == null) {
                        then.accept(0);
                        return;
                    }
                    int status = answer.status();
                    if (status == 404 && accepted || status == 400 || status == 422) {
                        violation("forgotten: " + job.plan.id() + " got " + status + ", " + asked);
                    } else if (status == 200 || status == 201) {
                        String told = answer.json().path("status").asText();
                        if (SimJob.isFinal(before) && !told.equals(before)) {
                            violation(
                                    "went_back: "
                                            + job.plan.id()
                                            + " was "
                                            + before
                                            + ", is "
                                            + told
                                            + ", "
                                            + asked);
                        }
                        if (status == 200) {
                            rules.answered(job, told, askedAt, ancestorCancelledAt);
                        }
                        recordStatus(job, told);
                    }
                    then.accept(status);
                });
    }

    private void send(
            int node,
            String method,
            String path,
            byte[] body,
            long deadlineMs,
            Consumer<HttpOutcome.Answered> done) {
        world.from("users")
                .send(
                        new OutboundRequest(
                                "10.0.0." + (1 + node), 8080, 1, method, path, body, deadlineMs),
                        outcome ->
                                done.accept(
                                        outcome instanceof HttpOutcome.Answered answer
                                                ? answer
                                                : null));
    }

    private void recordStatus(SimJob job, String status) {
        job.lastAnswerAt = world.now();
        if (status.equals("done") && !job.isComplete()) {
            violation("not_done: " + job.plan.id() + " has completed " + job.completedTasks);
        }
        if (status.equals("cancelled")) {
            if (!rules.mayBeCancelled(job)) {
                violation("went_back: " + job.plan.id() + " is cancelled and nobody asked");
            }
            if (Double.isNaN(job.cancelledAt)) {
                job.cancelledAt = world.now();
            }
        }
        if (!job.isOver()) {
            job.lastStatus = status;
        } else if (SimJob.isFinal(status) && !status.equals(job.lastStatus)) {
            // Whenever the two were asked: at most one of them is true.
            violation("went_back: " + job.plan.id() + " is " + job.lastStatus + " and " + status);
        }
    }

    // ---- troubles that users make

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
                                        j ->
                                                j.accepted
                                                        && !j.cancelAsked
                                                        && !j.workersByTask.isEmpty())
                                .toList());
        Collections.shuffle(running, world.random);
        List<SimJob> chosen = running.subList(0, Math.min(count, running.size()));
        chosen.forEach(job -> world.after(withinS * world.random.nextDouble(), () -> cancel(job)));
        return chosen.stream()
                .flatMap(job -> job.workersByTask.values().stream())
                .distinct()
                .toList();
    }

    /** Asks about a job that nobody submitted. */
    void queryUnknownJob() {
        expect("GET", "/api/jobs/run-999999", null, 404, "invented");
    }

    /** One request that a user has no good reason for. */
    void invalidRequest() {
        List<SimJob> known = jobs.values().stream().filter(job -> job.accepted).toList();
        SimJob job = known.isEmpty() ? null : known.get(world.random.nextInt(known.size()));
        ObjectNode good =
                JobPlan.array(
                                nextRefusableId++,
                                "batch",
                                "red",
                                "standard",
                                1,
                                1,
                                List.of(1.0),
                                true)
                        .body();
        switch (world.random.nextInt(9)) {
            case 0, 1 -> {
                if (job != null) {
                    ask(
                            job,
                            randomNode(),
                            "POST",
                            "/api/jobs",
                            Json.write(job.plan.body()),
                            5000,
                            status -> {});
                }
            }
            case 2 -> {
                if (job != null) {
                    ObjectNode other = job.plan.body();
                    other.put("vcpus", 1000).remove(world.random.nextBoolean() ? "rank" : "dueS");
                    ask(
                            job,
                            randomNode(),
                            "POST",
                            "/api/jobs",
                            Json.write(other),
                            5000,
                            status -> {});
                }
            }
            case 3 -> {
                if (job != null && job.isOver()) {
                    ask(
                            job,
                            randomNode(),
                            "POST",
                            "/api/jobs/" + job.plan.id() + "/cancel",
                            new byte[0],
                            5000,
                            status -> {});
                }
            }
            case 4 ->
                    expect(
                            "POST",
                            "/api/jobs/" + good.path("nameId").asText() + "/cancel",
                            new byte[0],
                            404,
                            "invented");
            case 5 -> queryUnknownJob();
            case 6 -> expectRefusal(good.put("vcpus", SimMachines.CPUS + 1), 422);
            case 7 -> expectRefusal(good.put("owner", "nobody"), 422);
            default -> expectRefusal(good.without(List.of("shards")), 400);
        }
    }

    /** A job that must not be accepted, and that nobody may know afterwards. */
    private void expectRefusal(ObjectNode body, int status) {
        expect("POST", "/api/jobs", Json.write(body), status, "wrongly_accepted");
        world.after(
                2,
                () ->
                        expect(
                                "GET",
                                "/api/jobs/" + body.path("nameId").asText(),
                                null,
                                404,
                                "invented"));
    }

    /** Any other answer breaks a rule, but for those that ask the user to come back. */
    private void expect(String method, String path, byte[] body, int status, String rule) {
        int node = randomNode();
        send(
                node,
                method,
                path,
                body,
                5000,
                answer -> {
                    if (answer != null && answer.status() != status && answer.status() < 429) {
                        violation(
                                (answer.status() < 300 ? rule : "wrong_answer")
                                        + ": "
                                        + answer.status()
                                        + " for "
                                        + method
                                        + " "
                                        + path
                                        + " at node-"
                                        + node
                                        + " instead of "
                                        + status);
                    }
                });
    }

    /** To be called every second. */
    void check() {
        expectations.check(calmAt);
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
                ask(
                        job,
                        node,
                        "GET",
                        "/api/jobs/" + job.plan.id(),
                        null,
                        2000,
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
