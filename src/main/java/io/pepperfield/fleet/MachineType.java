package io.pepperfield.fleet;

import java.util.List;

/**
 * A machine type offered by the cloud provider; prices are per hour.
 *
 * @param gpus number of accelerators
 * @param cacheGb size of the image cache in gigabytes
 * @param fetchGbPerS rate at which images are pulled, in gigabytes per second
 * @param bootS nominal time in seconds from the rental to the first heartbeat
 */
public record MachineType(
        String name,
        double cpus,
        double gpus,
        double memGb,
        double cacheGb,
        double fetchGbPerS,
        double price,
        double spotPrice,
        double bootS,
        List<String> zones) {

    /** Returns the price per hour of a spot or on-demand machine. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }

    /** Whether the other type is equal to this one except for its prices. */
    public boolean equalsIgnoringPrices(MachineType other) {
        return equals(other.withPrices(price, spotPrice));
    }

    private MachineType withPrices(double newPrice, double newSpotPrice) {
        return new MachineType(
                name,
                cpus,
                gpus,
                memGb,
                cacheGb,
                fetchGbPerS,
                newPrice,
                newSpotPrice,
                bootS,
                zones);
    }
}
