package io.pepperfield.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests the exit codes: 2 for a usage error, 1 for a failed command. */
class CommandLineTest {

    private static int run(String... arguments) {
        return new CommandLine(new Main())
                .setErr(new PrintWriter(new StringWriter()))
                .execute(arguments);
    }

    @Test
    void usageErrorsExitWithCode2() {
        assertEquals(2, run());
        assertEquals(2, run("frob"));
        assertEquals(2, run("serve"));
        assertEquals(2, run("status"));
        assertEquals(2, run("status", "run 1"));
        assertEquals(2, run("cancel", "../up", "--server", "127.0.0.1:9"));
        assertEquals(2, run("nodes", "--server", "nonsense"));
        assertEquals(2, run("nodes", "--server", "127.0.0.1:70000"));
        assertEquals(2, run("rollout"));
        assertEquals(2, run("rollout", "frob"));
        assertEquals(2, run("rollout", "activate", "--to", "two"));
        assertEquals(2, run("state"));
        assertEquals(2, run("state", "export", "file.tar"));
        assertEquals(2, run("state", "inspect"));
    }

    @Test
    void failedCommandsExitWithCode1(@TempDir Path dir) throws IOException {
        Path invalidSettings = Files.writeString(dir.resolve("bad.toml"), "node = 3\n");
        assertEquals(1, run("check", "--config", invalidSettings.toString()));
        assertEquals(1, run("serve", "--config", dir.resolve("none.toml").toString()));
        assertEquals(1, run("submit", dir.resolve("none.json").toString()));
        Path invalidArchive = Files.writeString(dir.resolve("foreign.tar"), "no archive");
        assertEquals(1, run("state", "inspect", invalidArchive.toString()));
        assertEquals(1, run("state", "inspect", dir.resolve("none.tar").toString()));
        assertEquals(1, run("state", "export", "x.tar", "--config", invalidSettings.toString()));
        assertEquals(1, run("rollout", "status", "--server", "127.0.0.1:1"));
        assertEquals(1, run("rollout", "activate", "--server", "127.0.0.1:1"));
        // Nothing listens on port 1 of the loopback interface.
        assertEquals(1, run("nodes", "--server", "127.0.0.1:1"));
    }
}
