package io.pepperfield.standin;

import io.pepperfield.jobs.JobSpec;
import java.util.List;

/**
 * Builds job specs for tests. Defaults describe the smallest ordinary job: an array of standard
 * priority with one task of 1 CPU and 1 GB of memory.
 */
public final class JobSpecBuilder {

    private String id = "run-000001";
    private String workload = "w";
    private String team = "t";
    private JobSpec.Shape shape = JobSpec.Shape.ARRAY;
    private JobSpec.Priority rank = JobSpec.Priority.STANDARD;
    private int tasks = 1;
    private double cpus = 1;
    private String image = "i";
    private double imageGb = 1;
    private String zone;
    private boolean oneZone;
    private boolean spread;
    private boolean spot;
    private List<String> dependencies = List.of();
    private double expectedS = 1;
    private int chunk = 10;

    public JobSpecBuilder id(String value) {
        id = value;
        return this;
    }

    public JobSpecBuilder workload(String value) {
        workload = value;
        return this;
    }

    public JobSpecBuilder team(String value) {
        team = value;
        return this;
    }

    public JobSpecBuilder shape(JobSpec.Shape value) {
        shape = value;
        return this;
    }

    public JobSpecBuilder rank(JobSpec.Priority value) {
        rank = value;
        return this;
    }

    public JobSpecBuilder tasks(int value) {
        tasks = value;
        return this;
    }

    public JobSpecBuilder cpus(double value) {
        cpus = value;
        return this;
    }

    public JobSpecBuilder image(String value) {
        image = value;
        return this;
    }

    public JobSpecBuilder imageGb(double value) {
        imageGb = value;
        return this;
    }

    public JobSpecBuilder zone(String value) {
        zone = value;
        return this;
    }

    public JobSpecBuilder oneZone(boolean value) {
        oneZone = value;
        return this;
    }

    public JobSpecBuilder spread(boolean value) {
        spread = value;
        return this;
    }

    public JobSpecBuilder spot(boolean value) {
        spot = value;
        return this;
    }

    public JobSpecBuilder expectedS(double value) {
        expectedS = value;
        return this;
    }

    public JobSpecBuilder chunk(int value) {
        chunk = value;
        return this;
    }

    public JobSpecBuilder dependencies(List<String> value) {
        dependencies = value;
        return this;
    }

    public JobSpec build() {
        return new JobSpec(
                id,
                workload,
                team,
                shape,
                rank,
                tasks,
                cpus,
                0,
                1,
                image,
                imageGb,
                null,
                zone,
                oneZone,
                spread,
                spot,
                expectedS,
                0,
                0,
                null,
                0,
                chunk,
                dependencies);
    }
}
