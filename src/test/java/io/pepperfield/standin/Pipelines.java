package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Supplier;

/** Submits pipelines of jobs as users of a region, and checks the final states of their jobs. */
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
     * Submits a pipeline of five jobs. In one of three pipelines the last job is submitted only
     * when its dependencies are finished, and in one of three a random job is cancelled within 30
     * s.
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

    /**
     * Submits a pipeline whose job with index {@code cancelled} is cancelled at the given moment.
     */
    public void submit(int number, PipelineShape shape, int cancelled, CancelMoment moment) {
        SimPipeline pipeline =
                new SimPipeline(world, users, shape, plans(number, shape, 2), cancelled, moment);
        submitted.add(pipeline);
        pipeline.step();
    }

    /** Submits an array that depends on the jobs with these numbers, which must be accepted. */
    public void submitArray(
            int number, String rank, int tasks, double cpus, double runS, int... dependencies) {
        users.submit(
                JobPlan.array(number, "batch", "red", rank, tasks, cpus, List.of(runS), true)
                        .dependingOn(Arrays.stream(dependencies).mapToObj(JobPlan::id).toList()));
    }

    public void cancel(int number, int node) {
        users.cancelAt(users.jobs.get(JobPlan.id(number)), node);
    }

    public void cancel(int number) {
        users.cancel(users.jobs.get(JobPlan.id(number)));
    }

    private List<JobPlan> plans(int number, PipelineShape shape, int maxTasks) {
        List<JobPlan> plans = new ArrayList<>();
        String owner = team.get();
        for (int i = 0; i < shape.jobs(); i++) {
            List<String> dependencies =
                    Arrays.stream(shape.dependencies(i))
                            .mapToObj(n -> JobPlan.id(number + n))
                            .toList();
            plans.add(
                    JobPlan.array(
                                    number + i,
                                    "batch",
                                    owner,
                                    i == shape.jobs() - 1 ? "urgent" : "best_effort",
                                    1 + world.random.nextInt(maxTasks),
                                    2,
                                    List.of(2 + 4 * world.random.nextDouble()),
                                    true)
                            .dependingOn(dependencies));
        }
        return plans;
    }

    /**
     * Returns the jobs whose final states do not follow from the cancellation in their pipeline.
     */
    public List<String> unexpectedFinalStates() {
        return submitted.stream()
                .flatMap(pipeline -> pipeline.unexpectedFinalStates().stream())
                .toList();
    }

    /** Returns the number of pipelines whose job was cancelled, rather than done before that. */
    public long cancelledCount() {
        return submitted.stream().filter(SimPipeline::wasCancelled).count();
    }
}
