package io.pepperfield.standin;

import io.pepperfield.cloud.Cloud;
import io.pepperfield.fleet.MachineType;
import java.util.List;
import java.util.function.Consumer;

/** A cloud that answers nothing; a test overrides the calls that matter to it. */
public interface SilentCloud extends Cloud {

    @Override
    default void types(Consumer<List<MachineType>> done) {}

    @Override
    default void rent(
            String request,
            String type,
            String zone,
            boolean spot,
            int count,
            Consumer<Rented> done) {}

    @Override
    default void release(List<String> names, Consumer<Boolean> done) {}

    @Override
    default void list(Consumer<List<Listed>> done) {}
}
