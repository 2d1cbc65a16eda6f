package io.pepperfield.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import io.pepperfield.config.Settings.Address;
import io.pepperfield.config.Settings.Member;
import io.pepperfield.config.Settings.Objective;
import io.pepperfield.config.Settings.Team;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Reads the platform's TOML, checks it whole and reports every fault at once. Unknown fields are
 * ignored.
 */
public final class SettingsReader {

    private final List<String> faults = new ArrayList<>();

    private SettingsReader() {}

    /** Reads and checks a file; the exception names all its faults. */
    public static Settings read(Path file, OperatorSettings operators) throws SettingsException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(
                    file.toString(),
                    List.of("cannot be read (" + e.getClass().getSimpleName() + ")"));
        }
        return parse(file.toString(), text, operators);
    }

    /** Reads and checks the contents of a file; {@code name} only appears in the messages. */
    public static Settings parse(String name, String text, OperatorSettings operators)
            throws SettingsException {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            String where = e.getLocation() == null ? "" : " in line " + e.getLocation().getLineNr();
            throw new SettingsException(
                    name,
                    List.of(
                            "is not TOML"
                                    + where
                                    + ": "
                                    + e.getOriginalMessage().lines().findFirst().orElse("")));
        }
        SettingsReader reader = new SettingsReader();
        Settings settings = reader.settings(root, operators);
        if (!reader.faults.isEmpty()) {
            throw new SettingsException(name, reader.faults);
        }
        return settings;
    }

    private Settings settings(JsonNode root, OperatorSettings operators) {
        String node = text(root, "", "node");
        String zone = text(root, "", "zone");
        Address bind = address(root, "", "bind");
        Address peer = address(root, "", "peer_listen");
        List<Member> members =
                tables(
                        root,
                        "",
                        "members",
                        m ->
                                new Member(
                                        text(m, "members.", "node"),
                                        text(m, "members.", "zone"),
                                        address(m, "members.", "addr")));
        for (Member member : members) {
            if (member.node().equals(node)) {
                faults.add("members.node = \"" + node + "\" is this node itself");
            }
        }
        JsonNode endpoints = table(root, "", "endpoints");
        Address cloud = address(endpoints, "endpoints.", "cloud");
        Address state = address(endpoints, "endpoints.", "state");
        JsonNode d = table(root, "", "deployment");
        List<String> zones = new ArrayList<>();
        for (JsonNode z : d.path("zones")) {
            if (z.isTextual()) {
                zones.add(z.textValue());
            } else {
                faults.add("deployment.zones = " + z + ": want names");
            }
        }
        Map<String, Team> teams = teams(d);
        checkWeights(operators, teams);
        List<Objective> objectives =
                tables(
                        d,
                        "deployment.",
                        "objectives",
                        o ->
                                new Objective(
                                        text(o, "deployment.objectives.", "kind"),
                                        o.path("class").asText(""),
                                        optional(o, "deployment.objectives.", "within_s", 0, 1e9),
                                        optional(o, "deployment.objectives.", "share", 0, 1),
                                        optional(o, "deployment.objectives.", "times", 0, 1e9)));
        JsonNode w = table(d, "deployment.", "workers");
        Settings.WorkerTimings workers =
                new Settings.WorkerTimings(
                        number(w, "deployment.workers.", "report_s", 0.05, 3600),
                        number(w, "deployment.workers.", "lease_s", 0.2, 36000),
                        number(w, "deployment.workers.", "cancel_s", 0.2, 36000));
        if (workers.leaseS() < workers.heartbeatIntervalS()) {
            faults.add(
                    "deployment.workers.lease_s = "
                            + workers.leaseS()
                            + ": want at least report_s");
        }
        JsonNode s = table(d, "deployment.", "state");
        // Limits that will hold from some moment on, without notice: what is written from now on
        // has to keep them already.
        JsonNode next =
                s.path("next").isMissingNode()
                        ? MissingNode.getInstance()
                        : table(s, "deployment.state.", "next");
        Settings.StoreLimits limits =
                new Settings.StoreLimits(
                        lowerLimit(s, next, "rps", 1, 1e9),
                        lowerLimit(s, next, "write_rps", 1, 1e9),
                        lowerLimit(s, next, "value_kb", 1, 1e6),
                        (int) lowerLimit(s, next, "txn_ops", 2, 1e6));
        JsonNode c = table(d, "deployment.", "cloud");
        Settings.CloudLimits rents =
                new Settings.CloudLimits(
                        number(c, "deployment.cloud.", "rps", 0.01, 1e9),
                        number(c, "deployment.cloud.", "list_lag_s", 0, 36000));
        JsonNode q = table(d, "deployment.", "quota");
        Settings.ProcessQuota quota =
                new Settings.ProcessQuota(
                        number(q, "deployment.quota.", "core_share", 0.001, 1e6),
                        number(q, "deployment.quota.", "mem_mb", 16, 1e9),
                        (int) number(q, "deployment.quota.", "sockets", 16, 1e9));
        double clock = optional(d, "deployment.", "clock_error_ms", 0, 1e9);
        int size = (int) number(d, "deployment.", "size", 1, 1000);
        return new Settings(
                node,
                zone,
                bind,
                peer,
                members,
                cloud,
                state,
                new Settings.Deployment(
                        size, zones, clock, teams, objectives, workers, limits, rents, quota),
                operators);
    }

    private Map<String, Team> teams(JsonNode deployment) {
        Map<String, Team> teams = new LinkedHashMap<>();
        for (Team team :
                tables(
                        deployment,
                        "deployment.",
                        "teams",
                        t ->
                                new Team(
                                        text(t, "deployment.teams.", "name"),
                                        number(t, "deployment.teams.", "cpus", 0, 1e9),
                                        limit(t, "cpus_max"),
                                        optional(t, "deployment.teams.", "gpus", 0, 1e9),
                                        limit(t, "gpus_max")))) {
            if (teams.put(team.name(), team) != null) {
                faults.add("deployment.teams.name = \"" + team.name() + "\" is there twice");
            }
        }
        return teams;
    }

    /** A weight for a team that does not exist can only be a slip. */
    private void checkWeights(OperatorSettings operators, Map<String, Team> teams) {
        for (String weighted : operators.admission().weights().keySet()) {
            if (!teams.containsKey(weighted)) {
                faults.add(
                        "<team-weight team=\""
                                + weighted
                                + "\"> in the operators' file: want a team of deployment.teams, one of "
                                + teams.keySet());
            }
        }
    }

    private JsonNode table(JsonNode in, String prefix, String field) {
        JsonNode value = in.path(field);
        if (!value.isObject()) {
            faults.add(
                    prefix
                            + field
                            + (value.isMissingNode()
                                    ? " is missing"
                                    : " = " + value + ": want a table"));
            return MissingNode.getInstance();
        }
        return value;
    }

    private <T> List<T> tables(
            JsonNode in, String prefix, String field, Function<JsonNode, T> read) {
        List<T> all = new ArrayList<>();
        JsonNode value = in.path(field);
        if (!value.isMissingNode() && !value.isArray()) {
            faults.add(prefix + field + " = " + value + ": want an array of tables");
            return all;
        }
        for (JsonNode item : value) {
            all.add(read.apply(item));
        }
        return all;
    }

    private String text(JsonNode in, String prefix, String field) {
        JsonNode value = in.path(field);
        if (!value.isTextual() || value.textValue().isBlank()) {
            // A table that is missing altogether was reported once; its fields need no line each.
            if (!in.isMissingNode()) {
                faults.add(
                        prefix
                                + field
                                + (value.isMissingNode()
                                        ? " is missing"
                                        : " = " + value + ": want a name"));
            }
            return "";
        }
        return value.textValue();
    }

    private Address address(JsonNode in, String prefix, String field) {
        String value = text(in, prefix, field);
        if (value.isEmpty()) {
            return new Address("", 0);
        }
        int colon = value.lastIndexOf(':');
        int port = -1;
        try {
            port = Integer.parseInt(value.substring(colon + 1));
        } catch (NumberFormatException e) {
            port = -1;
        }
        if (colon < 1 || port < 0 || port > 65535) {
            faults.add(prefix + field + " = \"" + value + "\": want HOST:PORT");
            return new Address("", 0);
        }
        return new Address(value.substring(0, colon), port);
    }

    private double optional(JsonNode in, String prefix, String field, double least, double most) {
        return in.path(field).isMissingNode() ? 0 : number(in, prefix, field, least, most);
    }

    /**
     * A team's limit; 0 or none is no limit, as for guests, of whom every job would be refused by a
     * limit of nothing.
     */
    private double limit(JsonNode team, String field) {
        double limit = optional(team, "deployment.teams.", field, 0, 1e9);
        return limit == 0 ? Double.POSITIVE_INFINITY : limit;
    }

    /** The lower of what the state service allows now and what it will allow. */
    private double lowerLimit(
            JsonNode state, JsonNode next, String field, double least, double most) {
        double now = number(state, "deployment.state.", field, least, most);
        return next.path(field).isMissingNode()
                ? now
                : Math.min(now, number(next, "deployment.state.next.", field, least, most));
    }

    private double number(JsonNode in, String prefix, String field, double least, double most) {
        JsonNode value = in.path(field);
        double number = value.asDouble(Double.NaN);
        if (!value.isNumber() || !(number >= least && number <= most)) {
            if (!in.isMissingNode()) {
                faults.add(
                        prefix
                                + field
                                + (value.isMissingNode()
                                        ? " is missing"
                                        : " = "
                                                + value
                                                + ": want a number from "
                                                + formatNumber(least)
                                                + " to "
                                                + formatNumber(most)));
            }
            return least;
        }
        return number;
    }

    private static String formatNumber(double number) {
        return number == Math.rint(number) ? String.valueOf((long) number) : String.valueOf(number);
    }
}
