package io.pepperfield.admission;

import io.pepperfield.fencing.FencingToken;
import java.util.SortedMap;

/**
 * What a controller asks the leader for.
 *
 * @param node the controller
 * @param processIncarnation its process; another one after each start
 * @param sequence grows with each report of a process
 * @param heldFencingToken the fencing token of the allotment that it uses, if it has one
 * @param heldSerial the serial of that allotment
 */
record DemandReport(
        String node,
        String processIncarnation,
        long sequence,
        FencingToken heldFencingToken,
        long heldSerial,
        SortedMap<WorkloadClass, ClassDemand> classes) {

    /**
     * One class's figures on one controller.
     *
     * @param perMinute distinct jobs that ask for admission, those refused included
     * @param admitted jobs admitted within the last minute
     * @param refused refusals within the last minute, repeated ones included
     */
    record ClassDemand(double perMinute, int admitted, int refused) {}
}
