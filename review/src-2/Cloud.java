import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** The cloud of PROTOCOL with one type; every controller has an address of its own here. */
final class Cloud {
    static final String TYPES =
            "{\"flavours\":[{\"label\":\"lekker-big\",\"vcpus\":16.0,\"accelerators\":0.0,\"memGb\":64.0,"
                    + "\"localGb\":60.0,\"fetchGbPerS\":0.3,\"hourly\":0.69,\"spotPrice\":0.2,"
                    + "\"readyS\":25.0,\"sites\":[\"joburg-north\",\"cape-west\"]}]}";

    record Host(String name, String zone, boolean spot, long rentedAt, long upAt) {}

    /** Starts the worker of a machine that is up. */
    interface Boot {
        Worker start(Host host) throws IOException;
    }

    /** Called with the controller and the machines of each release, before they are gone. */
    private final BiConsumer<String, List<String>> onRelease;

    private final Boot boot;
    private final double bootS;
    private final int capacity;
    private final double rps;
    private final double listLagS;
    private final Map<String, List<String>> hires = new HashMap<>();
    private final TreeMap<String, Host> hosts = new TreeMap<>();
    private final Map<String, Worker> workers = new LinkedHashMap<>();

    /** Machines that stopped on their own, by the time of the stop. */
    private final Map<String, Long> stopped = new HashMap<>();

    private final List<MiniHttp> servers = new ArrayList<>();
    private double tokens;
    private long refilledAt = System.nanoTime();
    private int lastHost = 230;
    private boolean down;

    /**
     * @param capacity machines for each zone and kind
     */
    Cloud(
            double rps,
            double listLagS,
            double bootS,
            int capacity,
            Boot boot,
            BiConsumer<String, List<String>> onRelease) {
        this.rps = rps;
        this.tokens = 2 * rps;
        this.listLagS = listLagS;
        this.bootS = bootS;
        this.capacity = capacity;
        this.boot = boot;
        this.onRelease = onRelease;
        Thread booting =
                new Thread(
                        () -> {
                            while (true) {
                                bootDue();
                                try {
                                    Thread.sleep(50);
                                } catch (InterruptedException e) {
                                    return;
                                }
                            }
                        });
        booting.setDaemon(true);
        booting.start();
    }

    /** Opens an address for one controller and returns its port. */
    int open(String controller) throws IOException {
        MiniHttp server = new MiniHttp(0, request -> handle(controller, request));
        servers.add(server);
        return server.port();
    }

    synchronized void setDown(boolean outage) {
        down = outage;
    }

    private synchronized void bootDue() {
        for (Host host : hosts.values()) {
            if (host.upAt <= System.nanoTime() && !workers.containsKey(host.name)) {
                try {
                    workers.put(host.name, boot.start(host));
                } catch (IOException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    /** Stops a machine with all that is on it; it is listed as running for 30 s more. */
    synchronized void stop(String name) {
        workers.get(name).close();
        stopped.put(name, System.nanoTime());
    }

    synchronized List<Host> hosts() {
        return new ArrayList<>(hosts.values());
    }

    private static MiniHttp.Response reply(int status, String json) {
        return new MiniHttp.Response(status, json.getBytes(StandardCharsets.UTF_8));
    }

    private synchronized MiniHttp.Response handle(String controller, MiniHttp.Request request)
            throws IOException {
        if (down) {
            return reply(503, "{\"error\":\"trouble\"}");
        }
        long now = System.nanoTime();
        tokens = Math.min(2 * rps, tokens + (now - refilledAt) / 1e9 * rps);
        refilledAt = now;
        if (tokens < 1) {
            return reply(429, "{\"error\":\"too many\"}");
        }
        tokens--;
        return switch (request.method() + " " + request.path()) {
            case "GET /machine_types" -> reply(200, TYPES);
            case "POST /rentals" -> rent(Site.JSON.readTree(request.body()));
            case "POST /rentals/release" -> release(controller, Site.JSON.readTree(request.body()));
            case "GET /rentals" -> list(request);
            default -> reply(404, "{}");
        };
    }

    private MiniHttp.Response rent(JsonNode body) {
        String hire = body.path("hire").asText();
        List<String> granted = hires.get(hire);
        if (granted == null) {
            String zone = body.path("site").asText();
            boolean spot = body.path("reclaimable").asBoolean();
            long taken =
                    hosts.values().stream()
                            .filter(host -> host.zone.equals(zone) && host.spot == spot)
                            .count();
            int count = (int) Math.min(body.path("howMany").asInt(), capacity - taken);
            if (count <= 0) {
                return reply(503, "{\"error\":\"no capacity\"}");
            }
            granted = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                String name = String.format("host-%06d", ++lastHost);
                long now = System.nanoTime();
                hosts.put(name, new Host(name, zone, spot, now, now + (long) (bootS * 1e9)));
                granted.add(name);
            }
            hires.put(hire, granted);
        }
        ObjectNode answer = Site.JSON.createObjectNode();
        granted.forEach(answer.putArray("hosts")::add);
        return reply(200, answer.toString());
    }

    private MiniHttp.Response release(String controller, JsonNode body) {
        List<String> names = new ArrayList<>();
        body.path("hosts").forEach(name -> names.add(name.asText()));
        onRelease.accept(controller, names);
        for (String name : names) {
            hosts.remove(name);
            Worker worker = workers.get(name);
            if (worker != null) {
                worker.close();
            }
        }
        return reply(200, "{}");
    }

    private String status(Host host, Worker worker) {
        Long stoppedAt = stopped.get(host.name);
        if (stoppedAt != null && (System.nanoTime() - stoppedAt) / 1e9 > 30) {
            return "failed";
        }
        return worker == null ? "starting" : "running";
    }

    private MiniHttp.Response list(MiniHttp.Request request) {
        ObjectNode answer = Site.JSON.createObjectNode();
        ArrayNode listed = answer.putArray("hosts");
        String since = request.query().getOrDefault("since", "");
        for (Host host : hosts.tailMap(since, false).values()) {
            if ((System.nanoTime() - host.rentedAt) / 1e9 < listLagS) {
                continue;
            }
            Worker worker = workers.get(host.name);
            listed.addObject()
                    .put("nameId", host.name)
                    .put("addr", worker == null ? "" : worker.address())
                    .put("flavour", "lekker-big")
                    .put("site", host.zone)
                    .put("reclaimable", host.spot)
                    .put("status", status(host, worker))
                    .put("ageS", (System.nanoTime() - host.rentedAt) / 1e9);
        }
        return reply(200, answer.put("truncated", false).toString());
    }
}
