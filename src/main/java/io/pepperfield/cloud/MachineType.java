package io.pepperfield.cloud;

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

    /** The price per hour of an ordinary or a spot machine. */
    public double price(boolean spot) {
        return spot ? spotPrice : price;
    }
}
