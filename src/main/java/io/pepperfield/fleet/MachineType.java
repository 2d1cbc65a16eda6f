package io.pepperfield.fleet;

import java.util.List;

/** A type of machine on offer; {@code gpus} are accelerators, prices are per hour. */
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

    /** The price per hour of a spot or an ordinary machine. */
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
