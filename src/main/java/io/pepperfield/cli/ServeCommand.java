package io.pepperfield.cli;

import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsException;
import io.pepperfield.controller.ControllerServer;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/** The {@code serve} command: runs a controller in this process until it is killed. */
@Command(
        name = "serve",
        mixinStandardHelpOptions = true,
        description = "Runs a controller until it is killed.")
final class ServeCommand implements Callable<Integer> {

    @Mixin private SettingsFiles files;

    @Override
    public Integer call() throws InterruptedException {
        Settings settings;
        try {
            settings = files.read();
        } catch (SettingsException e) {
            return ExitCode.failure(e.getMessage());
        }
        ControllerServer server = new ControllerServer(settings);
        try {
            server.start();
        } catch (Exception e) {
            // Netty rethrows the socket's checked exceptions undeclared. An address in use is a
            // configuration error rather than a crash.
            return ExitCode.failure(
                    "cannot listen on "
                            + settings.bindAddress()
                            + " and "
                            + settings.peerAddress()
                            + ": "
                            + e.getMessage());
        }
        server.run();
        return ExitCode.SUCCESS;
    }
}
