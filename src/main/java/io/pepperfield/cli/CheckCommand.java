package io.pepperfield.cli;

import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsException;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** The {@code check} command: validates settings files and prints their faults or a summary. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks settings files and says what they hold.")
final class CheckCommand implements Callable<Integer> {

    @Mixin private SettingsFiles files;

    @Override
    public Integer call() {
        try {
            Settings settings = files.read();
            System.out.println(
                    "good: "
                            + settings.node()
                            + " in "
                            + settings.zone()
                            + ", "
                            + (settings.members().size() + 1)
                            + " controllers, "
                            + settings.deployment().teams().size()
                            + " teams");
            return ExitCode.SUCCESS;
        } catch (SettingsException e) {
            return ExitCode.failure(e.getMessage());
        }
    }
}
