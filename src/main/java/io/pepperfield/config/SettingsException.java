package io.pepperfield.config;

import java.util.List;

/**
 * A settings file that cannot be used; the message is one line that names every wrong field with
 * its value.
 */
public final class SettingsException extends Exception {

    /** Joins all faults found in {@code file} into one message. */
    public SettingsException(String file, List<String> faults) {
        super(file + ": " + String.join("; ", faults));
    }
}
