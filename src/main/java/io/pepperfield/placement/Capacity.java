package io.pepperfield.placement;

/**
 * What a machine has, or has left, of each resource that tasks take.
 *
 * @param gpus accelerators
 * @param memGb memory in gigabytes
 */
public record Capacity(double cpus, double gpus, double memGb) {}
