package io.pepperfield.cloud;

import io.pepperfield.fleet.MachineType;
import java.util.List;
import java.util.function.Consumer;

/** The cloud as the slices see it; every callback runs on the event loop. */
public interface CloudProvider {

    /**
     * One entry of the cloud's list of machines; {@code ageS} is the time since its rental in
     * seconds.
     */
    record ListedInstance(
            String name,
            String address,
            String type,
            String zone,
            boolean spot,
            String status,
            double ageS) {}

    /** How a request to rent machines ended. */
    sealed interface RentalOutcome {
        /** The request was carried out; the names of the machines it brought. */
        record Granted(List<String> instanceNames) implements RentalOutcome {}

        /** The cloud has no machines of that type and kind in that zone at present. */
        record NoCapacity() implements RentalOutcome {}

        /** Not carried out, or nobody knows: the same request may be sent again. */
        record Failed(String reason) implements RentalOutcome {}
    }

    /** Null where there was no proper answer. */
    void listMachineTypes(Consumer<List<MachineType>> done);

    /**
     * Asks for {@code count} machines; {@code request} is the idempotency key, so that a repeated
     * request rents nothing twice.
     */
    void rentInstances(
            String request,
            String type,
            String zone,
            boolean spot,
            int count,
            Consumer<RentalOutcome> done);

    /** True only when the cloud has answered that they are gone. */
    void releaseInstances(List<String> names, Consumer<Boolean> done);

    /** All machines listed, or null. */
    void listInstances(Consumer<List<ListedInstance>> done);
}
