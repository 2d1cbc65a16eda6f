package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/** Users' pipelines in a region: their plans, and how they must have ended. */
public final class Pipelines {

    private final SimWorld world;
    private final SimUsers users;
    private final Supplier<String> team;
    private final List<SimPipeline> submitted = new ArrayList<>();

    Pipelines(SimWorld world, SimUsers users, Supplier<String> team) {
        this.world = world;
        this.users = users;
        this.team = team;
    }

    /**
     * A pipeline of five jobs. Of one pipeline in three the last is submitted only when the others
     * are over, of one in three a job is cancelled.
     */
    void submitRandom(int number) {
        PipelineShape shape = PipelineShape.MIXED;
        int cancelled = world.random.nextInt(3 * shape.jobs());
        List<JobPlan> plans = plans(number, shape, 4);
        if (cancelled < shape.jobs()) {
            double at = world.now() + 30 * world.random.nextDouble();
            plans.set(cancelled, plans.get(cancelled).cancelledAt(at));
        }
        users.submitPipeline(plans, world.random.nextInt(3) == 0);
    }

    /** A pipeline whose {@code cancelledCount}th job is cancelled at that moment. */
    public void submit(int number, PipelineShape shape, int cancelled, CancelMoment moment) {
        SimPipeline pipeline =
                new SimPipeline(world, users, shape, plans(number, shape, 2), cancelled, moment);
        submitted.add(pipeline);
        pipeline.step();
    }

    /** An array that needs the jobs with these numbers, which must be accepted. */
    public void submitArray(
            int number, String rank, int tasks, double cpus, double runS, int... needed) {
        users.submit(
                JobPlan.array(number, "batch", "red", rank, tasks, cpus, List.of(runS), true)
                        .dependingOn(Arrays.stream(needed).mapToObj(JobPlan::id).toList()));
    }

    public void cancel(int number, int node) {
        users.cancelAt(users.jobs.get(JobPlan.id(number)), node);
    }

    public void cancel(int number) {
        users.cancel(users.jobs.get(JobPlan.id(number)));
    }

    private List<JobPlan> plans(int number, PipelineShape shape, int mostTasks) {
        List<JobPlan> plans = new ArrayList<>();
        String of = team.get();
        for (int i = 0; i < shape.jobs(); i++) {
            List<String> needed =
                    Arrays.stream(shape.dependencies(i))
                            .mapToObj(n -> JobPlan.id(number + n))
                            .toList();
            plans.add(
                    JobPlan.array(
                                    number + i,
                                    "batch",
                                    of,
                                    i == shape.jobs() - 1 ? "urgent" : "best_effort",
                                    1 + world.random.nextInt(mostTasks),
                                    2,
                                    List.of(2 + 4 * world.random.nextDouble()),
                                    true)
                            .dependingOn(needed));
        }
        return plans;
    }

    /** Jobs that have not ended as the cancellation in their pipeline demands. */
    public List<String> unexpectedFinalStates() {
        return submitted.stream()
                .flatMap(pipeline -> pipeline.unexpectedFinalStates().stream())
                .toList();
    }

    /** How many pipelines lost the job that was to be cancelled, and did not get it done before. */
    public long cancelledCount() {
        return submitted.stream().filter(SimPipeline::wasCancelled).count();
    }
}
