/**
 * The rented machines, the attempts that may be alive on them, and the workers' protocol. {@link
 * io.pepperfield.fleet.Fleet} decides from heartbeats what has started and what has ended; {@link
 * io.pepperfield.fleet.LiveAttempts} counts live attempts by job and team. The state belongs to the
 * leader of one term and is changed on the owner thread only; messages and the {@link
 * io.pepperfield.fleet.WorkerClient} client are used by every controller.
 */
package io.pepperfield.fleet;
