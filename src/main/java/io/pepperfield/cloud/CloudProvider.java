package io.pepperfield.cloud;

import io.pepperfield.fleet.MachineType;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/** Client of the cloud provider. Called on the event loop; every callback runs there too. */
public interface CloudProvider {

    /**
     * One entry of the provider's list of instances.
     *
     * @param ageS seconds since the instance was rented
     */
    record ListedInstance(
            String name,
            String address,
            String type,
            String zone,
            boolean spot,
            String status,
            double ageS) {}

    /** Outcome of a request to rent instances. */
    sealed interface RentalOutcome {
        /** The provider granted these instances, possibly fewer than requested. */
        record Granted(List<String> instanceNames) implements RentalOutcome {}

        /** The provider has no capacity for this type, spot or on-demand, in this zone. */
        record NoCapacity() implements RentalOutcome {}

        /** The request failed or its outcome is unknown; it may be sent again with the same ID. */
        record Failed(String reason) implements RentalOutcome {}
    }

    /** Lists the machine types on offer; empty if the request failed or the reply is invalid. */
    void listMachineTypes(Consumer<Optional<List<MachineType>>> done);

    /**
     * Rents instances.
     *
     * @param requestId the idempotency key; repeating a request rents no further instances
     * @param count number of instances requested; fewer may be granted
     */
    void rentInstances(
            String requestId,
            String machineType,
            String zone,
            boolean spot,
            int count,
            Consumer<RentalOutcome> done);

    /** Releases instances; reports true only if the provider confirmed the release of all. */
    void releaseInstances(List<String> names, Consumer<Boolean> done);

    /** Lists all rented instances; empty if the request failed or the reply is invalid. */
    void listInstances(Consumer<Optional<List<ListedInstance>>> done);
}
