package io.pepperfield.admission;

import io.pepperfield.fencing.FencingToken;
import java.util.SortedMap;

/**
 * A controller's request for an allotment, with its demand by class.
 *
 * @param node the controller
 * @param processIncarnation identifies its process; different after each start
 * @param sequence increases with each report of a process
 * @param heldFencingToken the fencing token of the allotment in use, if any
 * @param heldSerial the serial of the allotment in use, or 0
 */
record DemandReport(
        String node,
        String processIncarnation,
        long sequence,
        FencingToken heldFencingToken,
        long heldSerial,
        SortedMap<WorkloadClass, ClassDemand> classes) {

    /**
     * The demand and counts of one class on one controller.
     *
     * @param perMinute distinct jobs per minute that request admission, refused jobs included
     * @param admitted jobs admitted within the last minute
     * @param refused refusals within the last minute, repeated refusals of a job included
     */
    record ClassDemand(double perMinute, int admitted, int refused) {}
}
