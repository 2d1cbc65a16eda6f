package io.pepperfield.standin;

import io.pepperfield.rollout.Release;

/** Which version a controller's process runs. */
public enum Version {
    /** The version in production before the upgrade, see {@link RecordedVersion}. */
    RECORDED,
    /** This one, with the rollout switched off. */
    CURRENT,
    /** A release that knows the version gate, and reads and writes the first version only. */
    GATED,
    /** This one, with the rollout switched on. */
    ROLLOUT;

    /** What it declares, or null where it knows of no versions. */
    Release release() {
        return switch (this) {
            case RECORDED, CURRENT -> null;
            case GATED -> new Release("gated", 1, 1, 1);
            case ROLLOUT -> Release.CURRENT;
        };
    }
}
