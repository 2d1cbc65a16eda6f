package io.pepperfield.cloud;

import io.pepperfield.fleet.MachineType;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** The cloud provider's interface; called on the event loop, on which every callback runs too. */
public interface CloudProvider {

    /**
     * One entry of the cloud's list of instances.
     *
     * @param ageS seconds since its rental
     */
    record ListedInstance(
            String name,
            String address,
            String type,
            String zone,
            boolean spot,
            String status,
            double ageS) {}

    /** How a request to rent instances ended. */
    sealed interface RentalOutcome {
        /** The request was carried out and has brought these instances. */
        record Granted(List<String> instanceNames) implements RentalOutcome {}

        /** The cloud has no instances of that type and class in that zone at present. */
        record NoCapacity() implements RentalOutcome {}

        /** Not carried out, or not known: the same request may be sent again. */
        record Failed(String reason) implements RentalOutcome {}
    }

    /** Lists the machine types on offer; empty where there was no valid answer. */
    void listMachineTypes(Consumer<Optional<List<MachineType>>> done);

    /**
     * Rents instances.
     *
     * @param requestId the idempotency key: a repeated request rents nothing twice
     * @param count how many are asked for; fewer may be granted
     */
    void rentInstances(
            String requestId,
            String machineType,
            String zone,
            boolean spot,
            int count,
            Consumer<RentalOutcome> done);

    /** Releases instances; true only where the cloud has confirmed that all are gone. */
    void releaseInstances(List<String> names, Consumer<Boolean> done);

    /** Lists all rented instances; empty where there was no valid answer. */
    void listInstances(Consumer<Optional<List<ListedInstance>>> done);
}
