package io.pepperfield.predict;

import it.unimi.dsi.fastutil.doubles.DoubleArrayList;
import it.unimi.dsi.fastutil.doubles.DoubleList;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;

/**
 * How long machines of a type take to boot in a zone: a median among peers, as WIRE has for tasks. Those that are still
 * awaited although they are late count with the time they have taken so far, so that a zone that has become slow is known
 * for it before the first of its machines comes up.
 */
public final class BootTimes {

    private static final int KEPT = 16;
    /** With fewer the nominal time says more. */
    private static final int ENOUGH = 3;
    /** The platform's usual spread: beyond it a machine is late. */
    private static final double LATE = 1.5;
    /** A zone that is slower than that cannot be told from one in which nothing comes up. */
    private static final double SLOWEST = 4;

    private record Boot(double at, double seconds) { }

    private final Map<String, ArrayDeque<Boot>> seen = new HashMap<>();
    private final double recentS;

    /** @param recentS how long a boot says something about the next, so that what a trouble has taught is forgotten after it */
    public BootTimes(double recentS) {
        this.recentS = recentS;
    }

    public double recentS() {
        return recentS;
    }

    public void seen(String place, double seconds, double now) {
        ArrayDeque<Boot> boots = seen.computeIfAbsent(place, p -> new ArrayDeque<>());
        boots.addLast(new Boot(now, seconds));
        if (boots.size() > KEPT) {
            boots.removeFirst();
        }
    }

    /**
     * What a boot is expected to take, at least the nominal time: machines that were up at once for a while must not lead to
     * returns that the next boots, which take their time again, make dear.
     *
     * @param awaitedS how long those have taken that are not up yet
     */
    public double expected(String place, double nominalS, DoubleList awaitedS, double now) {
        DoubleArrayList times = new DoubleArrayList();
        for (Boot boot : seen.getOrDefault(place, new ArrayDeque<>())) {
            if (now - boot.at <= recentS) {
                times.add(boot.seconds);
            }
        }
        awaitedS.forEach(age -> {
            if (age > LATE * nominalS) {
                times.add(age);
            }
        });
        return times.size() < ENOUGH ? nominalS : Math.min(SLOWEST * nominalS, Math.max(nominalS, Medians.of(times)));
    }

    /** Whether machines come so much later than usual that other zones are worth a try. */
    public static boolean late(double expectedS, double nominalS) {
        return expectedS > LATE * nominalS;
    }
}
