package io.pepperfield.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Checks the platform's quotas and warns about those that are too small. A controller starts
 * despite the warnings, since serving a small part of the load is better than serving none.
 */
public final class QuotaCheck {

    /** Memory of the process outside its heap: code, classes, threads, buffers. */
    private static final double NON_HEAP_MB = 96;

    /**
     * Sockets for the state service, the cloud provider, the other controllers, health checks and a
     * few users.
     */
    private static final int MIN_SOCKETS = 64;

    private QuotaCheck() {}

    /** Returns one message for each quota that is too small. */
    public static List<String> warnings(Settings.ProcessQuota quota, double heapLimitMb) {
        List<String> messages = new ArrayList<>();
        if (quota.memoryMb() < heapLimitMb + NON_HEAP_MB) {
            messages.add(
                    String.format(
                            Locale.ROOT,
                            "deployment.quota.mem_mb = %.0f is too small: the process may use up to %.0f",
                            quota.memoryMb(),
                            heapLimitMb + NON_HEAP_MB));
        }
        if (quota.maxSockets() < MIN_SOCKETS) {
            messages.add(
                    String.format(
                            Locale.ROOT,
                            "deployment.quota.sockets = %d is too small: %d are needed before any worker connects",
                            quota.maxSockets(),
                            MIN_SOCKETS));
        }
        return messages;
    }
}
