package io.pepperfield.health;

/**
 * Tells from the workers' reports whether this node's whole zone is cut off: reports of the zone's
 * own machines go on, and those of all others, of which there were many, have stopped at once. A
 * node that is cut off alone still hears both or none.
 */
public final class ZonePartitionDetector {

    /**
     * Chances of e to the power of this against one that so long a row of the zone's own reports is
     * no accident.
     */
    private static final double CONFIDENCE = 3;

    /** So many reports count for what is usual. */
    private static final double AVERAGING_WINDOW = 64;

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

    /** Whether this controller's whole zone seems to be cut off from the others. */
    public boolean isPartitioned() {
        return ownZoneRunLength * shareAtLastOtherZone > CONFIDENCE;
    }
}
