package io.pepperfield.standin;

import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.fleet.MachineType;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A cloud that answers nothing; a test overrides the calls that matter to it. */
public interface NoOpCloud extends CloudProvider {

    @Override
    default void listMachineTypes(Consumer<Optional<List<MachineType>>> done) {}

    @Override
    default void rentInstances(
            String request,
            String type,
            String zone,
            boolean spot,
            int count,
            Consumer<RentalOutcome> done) {}

    @Override
    default void releaseInstances(List<String> names, Consumer<Boolean> done) {}

    @Override
    default void listInstances(Consumer<Optional<List<ListedInstance>>> done) {}
}
