package io.pepperfield.node;

/**
 * Tells from the workers' reports whether this node's whole zone is cut off: reports of the zone's
 * own machines go on, and those of all others, of which there were many, have stopped at once. A
 * node that is cut off alone still hears both or none.
 */
final class ZoneWatch {

    /**
     * Chances of e to the power of this against one that so long a row of the zone's own reports is
     * no accident.
     */
    private static final double SURE = 3;

    /** So many reports count for what is usual. */
    private static final double USUAL = 64;

    private double othersShare;
    private double shareAtOthers;
    private int sinceOthers;

    void heard(boolean ownZone) {
        othersShare += ((ownZone ? 0 : 1) - othersShare) / USUAL;
        if (ownZone) {
            sinceOthers++;
        } else {
            sinceOthers = 0;
            shareAtOthers = othersShare;
        }
    }

    boolean cutOff() {
        return sinceOthers * shareAtOthers > SURE;
    }
}
