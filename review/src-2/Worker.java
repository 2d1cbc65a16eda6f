import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Function;

/** A worker agent of PROTOCOL on a loopback address. Its tasks only wait. */
final class Worker implements AutoCloseable {

    /** What a task needs; the worker fetches it from the users. */
    record Job(boolean service, double cpus, double memGb, double runS) {}

    private static final class Task {
        String shard;
        int attempt;
        String state = "pulling";
        String cause = "";
        long stateAt = System.nanoTime();
    }

    final String host;
    final String zone;
    final boolean spot;
    private final double cpus = 16;
    private final double memGb = 64;
    private final double fetchS;
    private final double reportS;
    private final double leaseS;
    private final Map<String, Integer> controllers;
    private final Function<String, Job> jobs;
    private final Consumer<String> log;
    private final MiniHttp server;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Random random;
    private long tenure = 1;
    private long serial;
    private long epoch;
    private long leaseFrom = System.nanoTime();
    private boolean changed;
    private volatile boolean gone;

    /** Whether every task on this machine fails soon after its start. */
    volatile boolean faulty;

    /**
     * @param controllers ports by the names of the controllers
     * @param jobs the description of a job, or null if there is none
     */
    Worker(
            String host,
            String zone,
            boolean spot,
            Site.Plan plan,
            double fetchS,
            Map<String, Integer> controllers,
            Function<String, Job> jobs,
            Consumer<String> log)
            throws IOException {
        this.host = host;
        this.zone = zone;
        this.spot = spot;
        this.fetchS = fetchS;
        this.reportS = plan.reportS;
        this.leaseS = plan.leaseS;
        this.controllers = controllers;
        this.jobs = jobs;
        this.log = log;
        this.random = new Random(host.hashCode());
        server = new MiniHttp(0, this::handle);
        daemon(this::report, host + "-report");
        daemon(this::run, host + "-run");
    }

    private static void daemon(Runnable runnable, String name) {
        Thread thread = new Thread(runnable, name);
        thread.setDaemon(true);
        thread.start();
    }

    private static double since(long nanos) {
        return (System.nanoTime() - nanos) / 1e9;
    }

    String address() {
        return "127.0.0.1:" + server.port();
    }

    /** The tasks that are on the machine now, with their attempts. */
    synchronized List<String> onMachine() {
        List<String> running = new ArrayList<>();
        tasks.forEach(
                (key, task) -> {
                    if (task.state.equals("running")) {
                        running.add(key);
                    }
                });
        return running;
    }

    /** Whether a task with these needs has room beside what is on the machine. */
    synchronized boolean hasRoom(double taskCpus, double taskMemGb) {
        double usedCpus = 0;
        double usedMem = 0;
        for (Task task : tasks.values()) {
            if (!task.state.equals("ended")) {
                Job job = jobs.apply(jobOf(task.shard));
                usedCpus += job.cpus;
                usedMem += job.memGb;
            }
        }
        return !gone && usedCpus + taskCpus <= cpus && usedMem + taskMemGb <= memGb;
    }

    // ---- tasks

    private void run() {
        while (!gone) {
            synchronized (this) {
                if (since(leaseFrom) > leaseS) {
                    if (!tasks.isEmpty()) {
                        log.accept(host + " lease ran out, kills " + tasks.keySet());
                    }
                    tasks.clear();
                    tenure++;
                    leaseFrom = System.nanoTime();
                    changed = true;
                }
                tasks.forEach(
                        (key, task) -> {
                            String shard = task.shard;
                            Job job = jobs.apply(jobOf(shard));
                            if (task.state.equals("pulling") && since(task.stateAt) > fetchS) {
                                set(shard, task, "running", "");
                            } else if (task.state.equals("running")
                                    && faulty
                                    && since(task.stateAt) > 0.5) {
                                set(shard, task, "ended", "error");
                            } else if (task.state.equals("running")
                                    && !job.service
                                    && since(task.stateAt) > job.runS) {
                                set(shard, task, "ended", "done");
                            }
                        });
            }
            sleep(0.02);
        }
    }

    private static String jobOf(String shard) {
        return shard.substring(0, shard.indexOf('/'));
    }

    private void set(String shard, Task task, String state, String cause) {
        task.state = state;
        task.cause = cause;
        task.stateAt = System.nanoTime();
        changed = true;
        log.accept(
                host + " " + shard + " try " + task.attempt + " " + state
                        + (cause.isEmpty() ? "" : " " + cause));
    }

    private synchronized void execute(JsonNode orders) {
        for (JsonNode order : orders) {
            String shard = order.path("shard").asText();
            int attempt = order.path("try").asInt();
            Task held = tasks.get(shard + " try " + attempt);
            switch (order.path("verb").asText()) {
                case "run" -> start(shard, attempt, held);
                case "stop" -> {
                    if (held != null && held.attempt == attempt && !held.state.equals("ended")) {
                        set(shard, held, "ended", "stopped");
                    }
                }
                case "clear" -> {
                    if (held != null && held.attempt == attempt && held.state.equals("ended")) {
                        tasks.remove(shard + " try " + attempt);
                        changed = true;
                    }
                }
                default -> log.accept(host + " unknown order " + order);
            }
        }
    }

    private void start(String shard, int attempt, Task held) {
        if (held != null) {
            return;
        }
        Task task = new Task();
        task.shard = shard;
        task.attempt = attempt;
        Job job = jobs.apply(jobOf(shard));
        boolean busy = tasks.values().stream().anyMatch(other -> other.shard.equals(shard));
        double usedCpus = 0;
        double usedMem = 0;
        for (Task other : tasks.values()) {
            if (!other.state.equals("ended")) {
                Job needs = jobs.apply(jobOf(other.shard));
                usedCpus += needs.cpus;
                usedMem += needs.memGb;
            }
        }
        tasks.put(shard + " try " + attempt, task);
        if (busy) {
            set(shard, task, "ended", "busy");
        } else if (job == null) {
            set(shard, task, "ended", "no_such");
        } else if (usedCpus + job.cpus > cpus + 1e-6 || usedMem + job.memGb > memGb + 1e-6) {
            set(shard, task, "ended", "no_room");
        } else {
            set(shard, task, "pulling", "");
        }
    }

    // ---- messages

    private synchronized byte[] body() {
        ObjectNode report =
                Site.JSON
                        .createObjectNode()
                        .put("host", host)
                        .put("addr", address())
                        .put("flavour", "lekker-big")
                        .put("site", zone)
                        .put("reclaimable", spot)
                        .put("tenure", tenure)
                        .put("serial", ++serial)
                        .put("epoch", epoch)
                        .putNull("warningS");
        ArrayNode shards = report.putArray("shards");
        tasks.forEach(
                (key, task) -> {
                    ObjectNode entry =
                            shards.addObject()
                                    .put("shard", task.shard)
                                    .put("try", task.attempt)
                                    .put("status", task.state);
                    if (!task.cause.isEmpty()) {
                        entry.put("cause", task.cause);
                    }
                });
        try {
            return Site.JSON.writeValueAsBytes(report);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private MiniHttp.Response handle(MiniHttp.Request request) throws IOException {
        if (gone) {
            return null;
        }
        if (request.path().equals("/status")) {
            return new MiniHttp.Response(200, body());
        }
        JsonNode message = Site.JSON.readTree(request.body());
        if (!message.has("epoch") || !message.has("tenure")) {
            return new MiniHttp.Response(400, new byte[0]);
        }
        synchronized (this) {
            long token = message.path("epoch").longValue();
            if (token < epoch || message.path("tenure").longValue() != tenure) {
                return new MiniHttp.Response(409, body());
            }
            if (token > epoch) {
                epoch = token;
                changed = true;
            }
            execute(message.path("orders"));
            return new MiniHttp.Response(200, body());
        }
    }

    private void report() {
        List<String> names = new ArrayList<>(controllers.keySet());
        int node = random.nextInt(names.size());
        while (!gone) {
            long sentAt = System.nanoTime();
            long sentTenure;
            byte[] body;
            synchronized (this) {
                changed = false;
                sentTenure = tenure;
                body = body();
            }
            MiniHttp.Response response =
                    MiniHttp.call(controllers.get(names.get(node)), "POST", "/agent/beat", body, 4000);
            JsonNode json = Site.json(response);
            if (response.status() == 200) {
                synchronized (this) {
                    long token = json.path("epoch").longValue();
                    if (!gone && sentTenure == tenure && token >= epoch) {
                        if (token > epoch) {
                            epoch = token;
                            changed = true;
                        }
                        leaseFrom = Math.max(leaseFrom, sentAt);
                        execute(json.path("orders"));
                    }
                }
                double period = reportS * (0.75 + random.nextDouble() / 2);
                while (!gone && since(sentAt) < period && !(changed && since(sentAt) >= 0.5)) {
                    sleep(0.01);
                }
            } else {
                int named = names.indexOf(json.path("manager").asText());
                if (response.status() == 421 && named >= 0 && named != node) {
                    node = named;
                } else {
                    node = (node + 1) % names.size();
                    sleep(1);
                }
            }
        }
    }

    private static void sleep(double seconds) {
        try {
            Thread.sleep((long) (seconds * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Ends the machine with all that is on it. */
    @Override
    public synchronized void close() {
        gone = true;
        tasks.clear();
        try {
            server.close();
        } catch (IOException e) {
            // It is closed all the same.
        }
    }
}
