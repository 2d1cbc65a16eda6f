package io.pepperfield.placement;

/**
 * Total or free resources of a machine.
 *
 * @param gpus accelerators
 * @param memGb memory in gigabytes
 */
public record Capacity(double cpus, double gpus, double memGb) {}
