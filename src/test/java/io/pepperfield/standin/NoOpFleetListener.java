package io.pepperfield.standin;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Heartbeat;
import io.pepperfield.fleet.Machine;

/** Ignores all fleet events, for tests of the fleet itself. */
public interface NoOpFleetListener extends Fleet.Listener {

    @Override
    default void attemptStarted(Attempt attempt) {}

    @Override
    default void attemptCompleted(Attempt attempt, double ranS) {}

    @Override
    default void attemptTerminated(Attempt attempt, Heartbeat.Cause cause) {}

    @Override
    default void machineJoined(Machine machine) {}
}
