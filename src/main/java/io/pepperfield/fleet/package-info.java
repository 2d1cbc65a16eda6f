/**
 * The rented machines, the attempts on them, and the workers' protocol. {@link
 * io.pepperfield.fleet.Fleet} derives from heartbeats which attempts have started or ended; {@link
 * io.pepperfield.fleet.LiveAttempts} tracks live attempts by job and team. An attempt is live until
 * it has provably ended. The state is held by the leader for one term and modified on the owner
 * thread only. All controllers use the messages and the {@link io.pepperfield.fleet.WorkerClient}.
 */
package io.pepperfield.fleet;
