/**
 * Fair admission: the rate at which jobs are accepted is divided between teams, the classes of a
 * team, and controllers. The leader divides the rate ({@link
 * io.pepperfield.admission.AllotmentIssuer}); each controller admits what its allotment and its
 * fixed share allow and refuses the rest at once ({@link
 * io.pepperfield.admission.SubmissionAdmission}). Submissions are not queued, nothing is stored,
 * and the package has no thread of its own: all code runs on the event loop.
 *
 * <p>The algorithms are weighted max-min fairness by progressive filling, leases on capacity with a
 * fixed share for controllers that cannot reach the leader, and token buckets. The reasons and the
 * alternatives considered are in docs/design/admission.md.
 */
package io.pepperfield.admission;
