package io.pepperfield.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * What the platform's quotas cannot carry. A controller starts all the same: a small share of the
 * work is better than none.
 */
public final class QuotaCheck {

    /** What a process holds besides its heap: code, classes, threads, buffers. */
    private static final double NON_HEAP_MB = 96;

    /**
     * Connections to the state service, the cloud and the other controllers, health checks, and a
     * few users.
     */
    private static final int MIN_SOCKETS = 64;

    private QuotaCheck() {}

    /** A line for each quota that is too small, or none. */
    public static List<String> warnings(Settings.ProcessQuota quota, double heapLimitMb) {
        List<String> lines = new ArrayList<>();
        if (quota.memoryMb() < heapLimitMb + NON_HEAP_MB) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "deployment.quota.mem_mb = %.0f, and the process may come to hold %.0f",
                            quota.memoryMb(),
                            heapLimitMb + NON_HEAP_MB));
        }
        if (quota.maxSockets() < MIN_SOCKETS) {
            lines.add(
                    String.format(
                            Locale.ROOT,
                            "deployment.quota.sockets = %d, and %d are needed before any worker reports",
                            quota.maxSockets(),
                            MIN_SOCKETS));
        }
        return lines;
    }
}
