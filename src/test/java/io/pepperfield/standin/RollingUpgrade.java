package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * Replaces all controllers by another version, a few at a time, in an order drawn from the seed.
 */
final class RollingUpgrade {

    private final SimulatedRegion region;
    private final SimWorld world;
    private final Version by;
    private final List<Integer> left = new ArrayList<>();

    RollingUpgrade(SimulatedRegion region, int nodes, Version by) {
        this.region = region;
        this.by = by;
        this.world = region.world;
        for (int node = 0; node < nodes; node++) {
            left.add(node);
        }
    }

    void begin(Fault.Upgrade upgrade) {
        Collections.shuffle(left, world.random);
        double everyS = upgrade.durationS() / left.size();
        replaceNext(everyS);
    }

    private void replaceNext(double everyS) {
        int count = Math.min(left.size(), 1 + world.random.nextInt(Fault.Upgrade.MAX_CONCURRENT));
        for (int i = 0; i < count; i++) {
            region.faults.replace(left.remove(0), by, Fault.Upgrade.DOWN_S);
        }
        if (!left.isEmpty()) {
            world.after(everyS * count, () -> replaceNext(everyS));
        }
    }
}
