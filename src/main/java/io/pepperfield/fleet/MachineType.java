package io.pepperfield.fleet;

import java.util.List;

/**
 * A type of machine on offer; prices are per hour.
 *
 * @param gpus accelerators
 * @param cacheGb size of the image cache in gigabytes
 * @param fetchGbPerS rate at which images are pulled, in gigabytes per second
 * @param bootS nominal seconds from the rental to the first heartbeat
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

    /** The price per hour of a spot or an on-demand machine. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }

    /** Whether the other type differs in its prices at most. */
    public boolean equalsIgnoringPrices(MachineType other) {
        return equals(other.withPrices(price, spotPrice));
    }

    private MachineType withPrices(double hourly, double spotHourly) {
        return new MachineType(
                name, cpus, gpus, memGb, cacheGb, fetchGbPerS, hourly, spotHourly, bootS, zones);
    }
}
