package io.pepperfield.standin;

import io.pepperfield.store.StateService;
import java.util.List;
import java.util.function.Consumer;

/** A state service that answers nothing; a test overrides the calls that matter to it. */
public interface SilentStateService extends StateService {

    @Override
    default void txn(
            Urgency urgency, List<Guard> guards, List<Change> changes, Consumer<TxnResult> done) {}

    @Override
    default void range(String after, Consumer<ReadResult> done) {}

    @Override
    default void follow(long since, double holdS, Consumer<ReadResult> done) {}

    @Override
    default void grant(double ttlS, Consumer<GrantResult> done) {}

    @Override
    default void touch(long id, Consumer<GrantResult> done) {}

    @Override
    default void endGrant(long id) {}
}
