package io.pepperfield.standin;

/** Which version a controller's process runs. */
public enum Version {
    /** The version in production before the upgrade, see {@link RecordedVersion}. */
    RECORDED,
    /** This one. */
    CURRENT
}
