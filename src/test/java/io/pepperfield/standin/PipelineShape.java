package io.pepperfield.standin;

/** Shape of a pipeline: for each job the indexes of the earlier jobs that it depends on. */
public enum PipelineShape {
    CHAIN(new int[][] {{}, {0}, {1}, {2}}),
    DIAMOND(new int[][] {{}, {0}, {0}, {1, 2}}),
    FAN(new int[][] {{}, {0}, {0}, {0}, {0}, {1, 2, 3, 4}}),
    /**
     * Two jobs depend on the first, one depends on both of them, and the last depends on that one
     * and the first.
     */
    MIXED(new int[][] {{}, {0}, {0}, {1, 2}, {0, 3}});

    private final int[][] dependencies;

    PipelineShape(int[][] dependencies) {
        this.dependencies = dependencies;
    }

    public int jobs() {
        return dependencies.length;
    }

    int[] dependencies(int job) {
        return dependencies[job];
    }
}
