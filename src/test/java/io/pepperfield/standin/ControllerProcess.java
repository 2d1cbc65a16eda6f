package io.pepperfield.standin;

import io.pepperfield.config.Feature;
import io.pepperfield.config.OperatorSettings;
import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsReader;
import io.pepperfield.controller.ControllerServer;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** A controller in a process of its own, which can be killed and come back as another version. */
public final class ControllerProcess {

    private final Path settings;
    private Process process;

    /** Keeps the controller's settings in that directory. */
    public ControllerProcess(LoopbackRegion region, int node, Path directory) throws IOException {
        settings =
                Files.writeString(
                        directory.resolve("node-" + node + ".toml"), region.settingsToml(node));
    }

    /** Starts it as that version. */
    public void start(Version version) throws IOException {
        start(version, Feature.ROLLOUT);
    }

    /** Starts it as that version with a feature switched on. */
    public void start(Version version, Feature feature) throws IOException {
        Path log = settings.resolveSibling(settings.getFileName() + ".log");
        process =
                new ProcessBuilder(
                                List.of(
                                        Path.of(System.getProperty("java.home"), "bin", "java")
                                                .toString(),
                                        "-Xmx128m",
                                        "-XX:+UseSerialGC",
                                        "-XX:TieredStopAtLevel=1",
                                        "-cp",
                                        System.getProperty("java.class.path"),
                                        ControllerProcess.class.getName(),
                                        settings.toString(),
                                        version.name(),
                                        feature.name()))
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                        .start();
    }

    /** Stops it where it is, or lets it go on. */
    public void setSuspended(boolean stop) throws IOException, InterruptedException {
        new ProcessBuilder("kill", stop ? "-STOP" : "-CONT", Long.toString(process.pid()))
                .start()
                .waitFor(10, TimeUnit.SECONDS);
    }

    /** Ends it without a signal that it could handle. */
    public void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    /** The process: a settings file, the name of a version and that of a feature. */
    public static void main(String[] arguments) throws Exception {
        OperatorSettings defaults = OperatorSettings.DEFAULTS;
        OperatorSettings operators =
                new OperatorSettings(
                        defaults.billingUnitS(),
                        defaults.restartCostShare(),
                        defaults.partialMachineShare(),
                        defaults.headroomQuantile(),
                        defaults.steadyQuantile(),
                        defaults.maxConcurrentSilentReleases(),
                        Set.of(Feature.valueOf(arguments[2])),
                        defaults.admission());
        Settings settings = SettingsReader.read(Path.of(arguments[0]), operators);
        ControllerServer service =
                new ControllerServer(settings, Version.valueOf(arguments[1]).release());
        // A test that is killed must not leave controllers behind.
        ProcessHandle.current()
                .parent()
                .ifPresent(test -> test.onExit().thenRun(() -> Runtime.getRuntime().halt(0)));
        service.start();
        service.run();
    }
}
