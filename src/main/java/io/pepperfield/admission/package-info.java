/**
 * Fair admission: the rate at which jobs are accepted is divided between teams, the classes of a
 * team, and controllers. The leader divides ({@link io.pepperfield.admission.AllotmentIssuer});
 * each controller admits what its allotment and its fixed share allow and refuses the rest at once
 * ({@link io.pepperfield.admission.SubmissionAdmission}). Nothing waits for admission, nothing is
 * stored, and the package has no thread of its own: all of it runs on the event loop.
 *
 * <p>The terms are those of the field: weighted max-min fairness by progressive filling, leases on
 * capacity with a safe share for holders that are cut off, token buckets. Why these, and which
 * others were weighed, is in docs/design/admission.md.
 */
package io.pepperfield.admission;
