package io.pepperfield.lifecycle;

import io.pepperfield.jobs.JobIndex;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Replica;
import io.pepperfield.store.TransactionLimits;
import java.util.function.DoubleSupplier;

/**
 * One controller's access to the state service: its replica of the keys, the job index built from
 * the replica, and the fenced writer. Confined to the event loop.
 *
 * @param transactionLimits limits of one transaction with the state service
 * @param lastConfirmedAt loop time in seconds up to which the replica is known to hold all changes
 */
public record DurableState(
        Replica replica,
        JobIndex jobIndex,
        FencedWriter writer,
        TransactionLimits transactionLimits,
        DoubleSupplier lastConfirmedAt) {}
