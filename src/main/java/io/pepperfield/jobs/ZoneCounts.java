package io.pepperfield.jobs;

import java.util.Map;
import java.util.TreeMap;

/**
 * Numbers of one job's possibly live tasks by zone. Tasks on machines whose zone is not known yet
 * are counted separately, since they may run in any zone. Confined to the event loop.
 */
public final class ZoneCounts {

    private final Map<String, Integer> knownByZone = new TreeMap<>();
    private int unknown;

    /**
     * Adds tasks in a zone; a negative number removes them.
     *
     * @param zone the zone, or an empty string if it is not known
     */
    public void add(String zone, int tasks) {
        if (zone.isEmpty()) {
            unknown += tasks;
        } else {
            knownByZone.merge(zone, tasks, Integer::sum);
        }
    }

    /** Returns the number of tasks that are known to be in the zone. */
    public int knownIn(String zone) {
        return knownByZone.getOrDefault(zone, 0);
    }

    /** Returns the largest number of tasks that may be in the zone. */
    public int possiblyIn(String zone) {
        return knownIn(zone) + unknown;
    }

    /** Returns the largest number of tasks that may be outside the zone. */
    public int possiblyOutside(String zone) {
        return total() - knownIn(zone);
    }

    /** Returns the number of tasks in all zones, including unknown ones. */
    public int total() {
        int known = 0;
        for (int tasks : knownByZone.values()) {
            known += tasks;
        }
        return known + unknown;
    }

    /**
     * Returns the first zone in which a task is known to be, or an empty string if there is none.
     */
    public String firstKnownZone() {
        for (Map.Entry<String, Integer> zone : knownByZone.entrySet()) {
            if (zone.getValue() > 0) {
                return zone.getKey();
            }
        }
        return "";
    }

    @Override
    public String toString() {
        return unknown == 0 ? knownByZone.toString() : knownByZone + " unknown=" + unknown;
    }
}
