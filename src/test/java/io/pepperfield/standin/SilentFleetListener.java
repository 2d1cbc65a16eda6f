package io.pepperfield.standin;

import io.pepperfield.fleet.Attempt;
import io.pepperfield.fleet.Fleet;
import io.pepperfield.fleet.Machine;
import io.pepperfield.fleet.Report;

/** Ignores what happens in the fleet, for tests that look at the fleet itself. */
public interface SilentFleetListener extends Fleet.Listener {

    @Override
    default void started(Attempt attempt) {}

    @Override
    default void completed(Attempt attempt, double ranS) {}

    @Override
    default void gone(Attempt attempt, Report.Cause cause) {}

    @Override
    default void appeared(Machine machine) {}
}
