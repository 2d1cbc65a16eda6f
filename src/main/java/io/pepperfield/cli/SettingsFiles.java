package io.pepperfield.cli;

import io.pepperfield.config.OperatorSettings;
import io.pepperfield.config.OperatorSettingsReader;
import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsException;
import io.pepperfield.config.SettingsReader;
import java.nio.file.Path;
import picocli.CommandLine.Option;

/** Options for the settings files: the platform's TOML and, optionally, the operators' XML. */
final class SettingsFiles {

    @Option(
            names = "--config",
            required = true,
            paramLabel = "FILE",
            description = "The platform's settings (TOML).")
    private Path config;

    @Option(
            names = "--operators",
            paramLabel = "FILE",
            description = "Operators' own settings (XML).")
    private Path operators;

    Settings read() throws SettingsException {
        return SettingsReader.read(
                config,
                operators == null
                        ? OperatorSettings.DEFAULTS
                        : OperatorSettingsReader.read(operators));
    }
}
