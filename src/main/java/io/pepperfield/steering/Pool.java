package io.pepperfield.steering;

/** Machines of one type and kind; the count of WIRE runs for each. */
public record Pool(String type, boolean spot) implements Comparable<Pool> {

    @Override
    public int compareTo(Pool other) {
        int byType = type.compareTo(other.type);
        return byType != 0 ? byType : Boolean.compare(spot, other.spot);
    }

    @Override
    public String toString() {
        return type + (spot ? " spot" : "");
    }
}
