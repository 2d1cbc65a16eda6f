package io.pepperfield.health;

/**
 * Tells from the workers' heartbeats whether this controller's whole zone is partitioned: those of
 * the zone's own machines go on, and those of all others, of which there were many, have stopped at
 * once. A controller that is isolated alone still receives both or none. Confined to the event
 * loop.
 */
public final class ZonePartitionDetector {

    /**
     * The odds that so long a run of the zone's own heartbeats is no accident are e to the power of
     * this against one.
     */
    private static final double CONFIDENCE = 3;

    /** So many heartbeats count for what is usual. */
    private static final double AVERAGING_WINDOW = 64;

    /** Moving average of the part of heartbeats that come from other zones. */
    private double otherZonesShare;

    private double shareAtLastOtherZone;
    private int ownZoneRunLength;

    /** Counts a heartbeat from a machine of this controller's own zone, or of another. */
    public void recordHeartbeat(boolean ownZone) {
        otherZonesShare += ((ownZone ? 0 : 1) - otherZonesShare) / AVERAGING_WINDOW;
        if (ownZone) {
            ownZoneRunLength++;
        } else {
            ownZoneRunLength = 0;
            shareAtLastOtherZone = otherZonesShare;
        }
    }

    /** Whether this controller's whole zone seems to be partitioned from the others. */
    public boolean isPartitioned() {
        return ownZoneRunLength * shareAtLastOtherZone > CONFIDENCE;
    }
}
