package io.pepperfield.node;

import io.pepperfield.fleet.Order;
import io.pepperfield.fleet.Report;
import io.pepperfield.peer.ForwardingMessages;
import java.util.List;

/** What the leader does with heartbeats, whichever controller a worker has sent them to. */
interface LeaderHeartbeats {

    /**
     * Takes a worker's report.
     *
     * @param through the controller that forwarded it, or empty where the worker sent it here
     * @return the orders that answer it, or null where it must not be answered with 200
     */
    List<Order> report(Report report, String through);

    /** Takes a report that another controller has passed on, and gives the answer for it. */
    ForwardingMessages.Verdict forwardedReport(ForwardingMessages.Beat beat, String through);

    /** Takes a worker's answer to direct orders. */
    void heard(Report report);

    /** Takes what another controller remembers of a machine. */
    void remembered(ForwardingMessages.Kept kept);
}
