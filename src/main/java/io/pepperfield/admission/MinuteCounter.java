package io.pepperfield.admission;

/** Counts the events of the last minute in six slots of ten seconds. */
final class MinuteCounter {

    private static final double SLOT_S = 10;

    private final int[] slots = new int[6];
    private long slot;

    void increment(double now) {
        advance(now);
        slots[(int) (slot % slots.length)]++;
    }

    int total(double now) {
        advance(now);
        int total = 0;
        for (int count : slots) {
            total += count;
        }
        return total;
    }

    private void advance(double now) {
        long current = (long) Math.floor(Math.max(0, now) / SLOT_S);
        long first = Math.max(slot + 1, current - slots.length + 1);
        for (long expired = first; expired <= current; expired++) {
            slots[(int) (expired % slots.length)] = 0;
        }
        slot = Math.max(slot, current);
    }
}
