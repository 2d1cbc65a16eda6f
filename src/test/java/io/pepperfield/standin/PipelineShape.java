package io.pepperfield.standin;

/** A form of pipeline: for each of its jobs the earlier ones that it needs. */
public enum PipelineShape {
    CHAIN(new int[][] {{}, {0}, {1}, {2}}),
    DIAMOND(new int[][] {{}, {0}, {0}, {1, 2}}),
    FAN(new int[][] {{}, {0}, {0}, {0}, {0}, {1, 2, 3, 4}}),
    /** Two need the first, one needs both, and the last needs that and the first. */
    MIXED(new int[][] {{}, {0}, {0}, {1, 2}, {0, 3}});

    private final int[][] dependencies;

    PipelineShape(int[][] needs) {
        this.dependencies = needs;
    }

    public int jobs() {
        return dependencies.length;
    }

    int[] dependencies(int job) {
        return dependencies[job];
    }
}
