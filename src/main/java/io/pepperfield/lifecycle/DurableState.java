package io.pepperfield.lifecycle;

import io.pepperfield.jobs.JobIndex;
import io.pepperfield.store.FencedWriter;
import io.pepperfield.store.Replica;
import io.pepperfield.store.TransactionLimits;
import java.util.function.DoubleSupplier;

/**
 * What one controller shares with the state service: its copy of the keys, what they say of jobs,
 * and its guarded writes.
 *
 * @param transactionLimits of one of its transactions
 * @param lastConfirmedAt sending time of the last question that was answered with all changes up to
 *     then
 */
public record DurableState(
        Replica replica,
        JobIndex jobIndex,
        FencedWriter writer,
        TransactionLimits transactionLimits,
        DoubleSupplier lastConfirmedAt) {}
