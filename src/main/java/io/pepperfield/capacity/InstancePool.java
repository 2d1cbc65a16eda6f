package io.pepperfield.capacity;

/** Machines of one type and instance class (on-demand or spot); WIRE counts machines per pool. */
public record InstancePool(String type, boolean spot) implements Comparable<InstancePool> {

    @Override
    public int compareTo(InstancePool other) {
        int byType = type.compareTo(other.type);
        return byType != 0 ? byType : Boolean.compare(spot, other.spot);
    }

    @Override
    public String toString() {
        return type + (spot ? " spot" : "");
    }
}
