package io.pepperfield.config;

import java.util.List;
import java.util.stream.Collectors;

/**
 * A settings file that cannot be used; the message is one line that names every wrong field with
 * its value.
 */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1;

    private final transient List<SettingsFault> faults;

    /** Joins all faults found in {@code file} into one message. */
    public SettingsException(String file, List<SettingsFault> faults) {
        super(
                file
                        + ": "
                        + faults.stream()
                                .map(SettingsFault::message)
                                .collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    /** All faults of the file, in the order of their places. */
    public List<SettingsFault> faults() {
        return faults;
    }
}
