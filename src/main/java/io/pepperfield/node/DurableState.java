package io.pepperfield.node;

import io.pepperfield.jobs.Catalog;
import io.pepperfield.store.Replica;
import io.pepperfield.store.TransactionLimits;
import io.pepperfield.store.Writer;
import java.util.function.DoubleSupplier;

/**
 * What one controller shares with the state service: its copy of the keys, what they say of jobs,
 * and its guarded writes.
 *
 * @param limits of one of its transactions
 * @param confirmedAt sending time of the last question that was answered with all changes up to
 *     then
 */
record DurableState(
        Replica replica,
        Catalog catalog,
        Writer writer,
        TransactionLimits limits,
        DoubleSupplier confirmedAt) {}
