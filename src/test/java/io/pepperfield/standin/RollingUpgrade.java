package io.pepperfield.standin;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Upgrades all controllers to another version, a few at a time, in random order. */
final class RollingUpgrade {

    private final SimulatedRegion region;
    private final SimWorld world;
    private final Version toVersion;
    private final List<Integer> remaining = new ArrayList<>();

    RollingUpgrade(SimulatedRegion region, int nodes, Version toVersion) {
        this.region = region;
        this.toVersion = toVersion;
        this.world = region.world;
        for (int node = 0; node < nodes; node++) {
            remaining.add(node);
        }
    }

    void begin(Fault.Upgrade upgrade) {
        Collections.shuffle(remaining, world.random);
        double intervalS = upgrade.durationS() / remaining.size();
        replaceNext(intervalS);
    }

    private void replaceNext(double intervalS) {
        int count =
                Math.min(remaining.size(), 1 + world.random.nextInt(Fault.Upgrade.MAX_CONCURRENT));
        for (int i = 0; i < count; i++) {
            region.faults.restartAs(remaining.remove(0), toVersion, Fault.Upgrade.DOWN_S);
        }
        if (!remaining.isEmpty()) {
            world.after(intervalS * count, () -> replaceNext(intervalS));
        }
    }
}
