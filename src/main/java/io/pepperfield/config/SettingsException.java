package io.pepperfield.config;

import java.util.List;
import java.util.stream.Collectors;

/**
 * Thrown for an invalid settings file. The one-line message lists every invalid setting with its
 * value.
 */
public final class SettingsException extends Exception {

    private static final long serialVersionUID = 1;

    private final transient List<SettingsFault> faults;

    /** Creates an exception whose message lists all faults of {@code file}. */
    public SettingsException(String file, List<SettingsFault> faults) {
        super(
                file
                        + ": "
                        + faults.stream()
                                .map(SettingsFault::message)
                                .collect(Collectors.joining("; ")));
        this.faults = List.copyOf(faults);
    }

    /** Returns all faults of the file in the order in which they were found. */
    public List<SettingsFault> faults() {
        return faults;
    }
}
