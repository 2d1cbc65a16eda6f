package io.pepperfield.standin;

import io.pepperfield.cloud.CloudProvider;
import io.pepperfield.fleet.MachineType;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** A cloud provider that never responds; tests override the calls they need. */
public interface NoOpCloud extends CloudProvider {

    @Override
    default void listMachineTypes(Consumer<Optional<List<MachineType>>> onResult) {}

    @Override
    default void rentInstances(
            String request,
            String type,
            String zone,
            boolean spot,
            int count,
            Consumer<RentalOutcome> onResult) {}

    @Override
    default void releaseInstances(List<String> names, Consumer<Boolean> onResult) {}

    @Override
    default void listInstances(Consumer<Optional<List<ListedInstance>>> onResult) {}
}
