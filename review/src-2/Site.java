import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;

/** The controllers of a small deployment as processes, started with the deploy file's command. */
final class Site implements AutoCloseable {
    static final ObjectMapper JSON = new ObjectMapper();

    /** Settings beside addresses; the defaults are those of the users' order entry site. */
    static final class Plan {
        double reportS = 2.5;
        double leaseS = 12;
        double cancelS = 37;
        double rps = 150;
        double writeRps = 50;
        double valueKb = 8;
        int txnOps = 40;
        /** The section deployment.state.next, as lines; empty for none. */
        String next = "";

        double cloudRps = 2;
        double listLagS = 8;
        double memMb = 263;
        int sockets = 1200;
        int teams = 10;
        double cpus = 32;
        double cpusMax = 88;
    }

    final class Controller {
        final String name;
        final String zone;
        final int bind;
        final int peer;
        final Path settings;
        Process process;
        int starts;

        Controller(String name, String zone, int bind, int peer, Path settings) {
            this.name = name;
            this.zone = zone;
            this.bind = bind;
            this.peer = peer;
            this.settings = settings;
        }

        void start() throws IOException {
            List<String> command = new ArrayList<>(runCommand);
            command.add(settings.toString());
            starts++;
            process =
                    new ProcessBuilder(command)
                            .directory(root.toFile())
                            .redirectErrorStream(true)
                            .redirectOutput(
                                    ProcessBuilder.Redirect.appendTo(
                                            directory.resolve(name + ".log").toFile()))
                            .start();
        }

        void kill() throws InterruptedException {
            process.destroyForcibly();
            process.waitFor(10, TimeUnit.SECONDS);
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor(10, TimeUnit.SECONDS);
        }

        boolean up(int timeoutMs) {
            return MiniHttp.call(bind, "GET", "/up", null, timeoutMs).status() == 200;
        }
    }

    final Path root;
    final Path directory;
    final List<String> runCommand;
    final List<Controller> controllers = new ArrayList<>();

    Site(Plan plan, int size, int statePort, IntUnaryOperator cloudPort) throws IOException {
        root = Path.of("").toAbsolutePath();
        directory = Files.createTempDirectory("pepperfield-case");
        runCommand = deployCommand();
        List<Integer> ports = freePorts(2 * size);
        List<String> zones = List.of("joburg-north", "cape-west");
        for (int i = 0; i < size; i++) {
            Path file = directory.resolve("worker-" + i + ".toml");
            controllers.add(
                    new Controller(
                            "worker-" + i, zones.get(i % 2), ports.get(2 * i), ports.get(2 * i + 1), file));
        }
        for (int i = 0; i < size; i++) {
            Controller controller = controllers.get(i);
            Files.writeString(
                    controller.settings,
                    settings(plan, controller, statePort, cloudPort.applyAsInt(i)));
        }
    }

    private List<String> deployCommand() throws IOException {
        for (String text : Files.readAllLines(root.resolve("deploy/service.toml"))) {
            if (text.startsWith("run = ")) {
                String command = text.substring(7, text.lastIndexOf('"'));
                return new ArrayList<>(Arrays.asList(command.split(" ")));
            }
        }
        throw new IOException("no run command in deploy/service.toml");
    }

    static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
            sockets.add(socket);
            ports.add(socket.getLocalPort());
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private String settings(Plan plan, Controller self, int statePort, int cloudPort) {
        StringBuilder text = new StringBuilder();
        text.append("node = \"").append(self.name).append("\"\nzone = \"").append(self.zone);
        text.append("\"\nbind = \"127.0.0.1:").append(self.bind);
        text.append("\"\npeer_listen = \"127.0.0.1:").append(self.peer).append("\"\n");
        for (Controller other : controllers) {
            if (other != self) {
                text.append("\n[[members]]\nnode = \"").append(other.name);
                text.append("\"\nzone = \"").append(other.zone);
                text.append("\"\naddr = \"127.0.0.1:").append(other.peer).append("\"\n");
            }
        }
        text.append("\n[endpoints]\ncloud = \"127.0.0.1:").append(cloudPort);
        text.append("\"\nstate = \"127.0.0.1:").append(statePort).append("\"\n");
        text.append("\n[deployment]\nsize = ").append(controllers.size());
        text.append("\nzones = [\"cape-west\", \"joburg-north\"]\nclock_error_ms = 5.0\n");
        for (int team = 0; team < plan.teams; team++) {
            text.append(String.format("%n[[deployment.teams]]%nname = \"desk-team-%02d\"%n", team));
            text.append("cpus = ").append(plan.cpus).append("\ncpus_max = ").append(plan.cpusMax);
            text.append("\ngpus = 0.0\ngpus_max = 0.0\n");
        }
        text.append("\n[deployment.workers]\nreport_s = ").append(plan.reportS);
        text.append("\nlease_s = ").append(plan.leaseS);
        text.append("\ngang_wait_s = 45.0\ngang_peer_s = 8.0\ncancel_s = ").append(plan.cancelS);
        text.append("\n\n[deployment.state]\nrps = ").append(plan.rps);
        text.append("\nwrite_rps = ").append(plan.writeRps);
        text.append("\nvalue_kb = ").append(plan.valueKb).append("\ntxn_ops = ").append(plan.txnOps);
        if (!plan.next.isEmpty()) {
            text.append("\n\n[deployment.state.next]\n").append(plan.next);
        }
        text.append("\n\n[deployment.cloud]\nrps = ").append(plan.cloudRps);
        text.append("\nlist_lag_s = ").append(plan.listLagS);
        text.append("\n\n[deployment.quota]\ncore_share = 0.34\nmem_mb = ").append(plan.memMb);
        text.append("\nsockets = ").append(plan.sockets).append("\n");
        return text.toString();
    }

    static JsonNode json(MiniHttp.Response response) {
        try {
            JsonNode node = JSON.readTree(response.body());
            return node == null ? JSON.createObjectNode() : node;
        } catch (IOException e) {
            return JSON.createObjectNode();
        }
    }

    @Override
    public void close() throws IOException {
        for (Controller controller : controllers) {
            if (controller.process != null) {
                controller.process.destroyForcibly();
            }
        }
        for (Controller controller : controllers) {
            try {
                if (controller.process != null) {
                    controller.process.waitFor(10, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        File[] files = directory.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            Files.deleteIfExists(file.toPath());
        }
        Files.deleteIfExists(directory);
    }
}
