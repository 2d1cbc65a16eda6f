package io.pepperfield.health;

/**
 * Detects from the workers' heartbeats whether this controller's whole zone is partitioned:
 * heartbeats of its own zone still arrive, while those of all other zones, previously frequent,
 * have stopped at the same time. A controller that alone is isolated receives either both or none.
 * Confined to the event loop.
 */
public final class ZonePartitionDetector {

    /**
     * Threshold on the expected number of heartbeats from other zones within the current run of
     * own-zone heartbeats. The odds that such a run is not due to chance are e to the power of this
     * value against one.
     */
    private static final double MIN_EXPECTED_OTHER_ZONE_HEARTBEATS = 3;

    /** Number of heartbeats over which the moving average is taken. */
    private static final double AVERAGING_WINDOW = 64;

    /** Moving average of the fraction of heartbeats that come from other zones. */
    private double otherZoneFraction;

    /** Value of the moving average at the last heartbeat from another zone. */
    private double fractionAtLastOtherZone;

    private int ownZoneRunLength;

    /** Records a heartbeat of a machine in this controller's own zone or in another. */
    public void recordHeartbeat(boolean ownZone) {
        otherZoneFraction += ((ownZone ? 0 : 1) - otherZoneFraction) / AVERAGING_WINDOW;
        if (ownZone) {
            ownZoneRunLength++;
        } else {
            ownZoneRunLength = 0;
            fractionAtLastOtherZone = otherZoneFraction;
        }
    }

    /** Whether this controller's whole zone is probably partitioned from the others. */
    public boolean isPartitioned() {
        return ownZoneRunLength * fractionAtLastOtherZone > MIN_EXPECTED_OTHER_ZONE_HEARTBEATS;
    }
}
