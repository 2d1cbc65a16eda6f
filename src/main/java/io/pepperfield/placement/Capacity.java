package io.pepperfield.placement;

/** What a machine has, or has left, of each kind that tasks take. */
public record Capacity(double cpus, double gpus, double memGb) {}
