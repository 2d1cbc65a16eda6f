package io.pepperfield.standin;

import io.pepperfield.rollout.Release;

/** Software versions that a controller process of a simulation can run. */
public enum Version {
    /** The version in production before the upgrade; see {@link RecordedVersion}. */
    RECORDED,
    /** The current version, with the rollout feature disabled. */
    CURRENT,
    /** A release with the version gate that reads and writes stored-state version 1 only. */
    GATED,
    /** The current version, with the rollout feature enabled. */
    ROLLOUT;

    /** Returns the release that it declares, or null if it does not support versions. */
    Release release() {
        return switch (this) {
            case RECORDED, CURRENT -> null;
            case GATED -> new Release("gated", 1, 1, 1);
            case ROLLOUT -> Release.CURRENT;
        };
    }
}
