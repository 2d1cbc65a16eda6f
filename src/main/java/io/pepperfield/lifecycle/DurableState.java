package io.pepperfield.lifecycle;

import io.pepperfield.jobs.JobIndex;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Replica;
import io.pepperfield.store.TransactionLimits;
import java.util.function.DoubleSupplier;

/**
 * What one controller shares with the state service: its replica of the keys, the index of jobs
 * made from it, and its fenced writes. Confined to the event loop.
 *
 * @param transactionLimits of one transaction with the state service
 * @param lastConfirmedAt loop time in seconds up to which the replica is known to hold all changes
 */
public record DurableState(
        Replica replica,
        JobIndex jobIndex,
        FencedWriter writer,
        TransactionLimits transactionLimits,
        DoubleSupplier lastConfirmedAt) {}
