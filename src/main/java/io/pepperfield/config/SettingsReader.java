package io.pepperfield.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
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

/**
 * Reads and validates the platform's TOML settings and reports all faults at once. Unknown fields
 * are ignored.
 */
public final class SettingsReader {

    /** Upper limit for numbers, far above the values of any deployment. */
    private static final double MAX_NUMBER = 1e9;

    private static final double MAX_INTERVAL_S = 36_000;
    private static final double MAX_HEARTBEAT_INTERVAL_S = 3600;
    private static final int MAX_CONTROLLERS = 1000;

    private final OperatorSettings operators;
    private final List<SettingsFault> faults = new ArrayList<>();

    private SettingsReader(OperatorSettings operators) {
        this.operators = operators;
    }

    /** Reads and validates a file; the exception lists all faults. */
    public static Settings read(Path file, OperatorSettings operators) throws SettingsException {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException e) {
            throw new SettingsException(file.toString(), List.of(SettingsFault.unreadable(e)));
        }
        return parse(file.toString(), text, operators);
    }

    /** Parses and validates the contents of a file; {@code name} appears only in messages. */
    public static Settings parse(String name, String text, OperatorSettings operators)
            throws SettingsException {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(text);
        } catch (JsonProcessingException e) {
            throw new SettingsException(name, List.of(notToml(e)));
        }
        SettingsReader reader = new SettingsReader(operators);
        Settings settings = reader.readSettings(TomlTable.root(root, reader.faults));
        if (!reader.faults.isEmpty()) {
            throw new SettingsException(name, reader.faults);
        }
        return settings;
    }

    private static SettingsFault notToml(JsonProcessingException cause) {
        String location =
                cause.getLocation() == null ? "" : " in line " + cause.getLocation().getLineNr();
        String reason = cause.getOriginalMessage().lines().findFirst().orElse("");
        return new SettingsFault.Unreadable("is not TOML" + location + ": " + reason);
    }

    private Settings readSettings(TomlTable root) {
        String node = root.text("node");
        String zone = root.text("zone");
        Address bindAddress = root.address("bind");
        Address peerAddress = root.address("peer_listen");
        List<Member> members = readMembers(root, node);
        TomlTable endpoints = root.table("endpoints");
        Address cloudAddress = endpoints.address("cloud");
        Address storeAddress = endpoints.address("state");
        return new Settings(
                node,
                zone,
                bindAddress,
                peerAddress,
                members,
                cloudAddress,
                storeAddress,
                readDeployment(root.table("deployment")),
                operators);
    }

    private List<Member> readMembers(TomlTable root, String node) {
        List<Member> members = new ArrayList<>();
        for (TomlTable table : root.tables("members")) {
            members.add(new Member(table.text("node"), table.text("zone"), table.address("addr")));
        }
        for (Member member : members) {
            if (member.node().equals(node)) {
                faults.add(
                        new SettingsFault.Rejected(
                                "members.node = \"" + node + "\"", "is the name of this node"));
            }
        }
        return members;
    }

    private Settings.Deployment readDeployment(TomlTable deployment) {
        List<String> zones = deployment.names("zones");
        Map<String, Team> teams = readTeams(deployment);
        checkWeights(teams);
        List<Objective> objectives =
                deployment.tables("objectives").stream()
                        .map(SettingsReader::readObjective)
                        .toList();
        Settings.WorkerTimings workerTimings = readWorkerTimings(deployment.table("workers"));
        Settings.StoreLimits storeLimits = readStoreLimits(deployment.table("state"));
        Settings.CloudLimits cloudLimits = readCloudLimits(deployment.table("cloud"));
        Settings.ProcessQuota processQuota = readProcessQuota(deployment.table("quota"));
        double clockErrorMs = deployment.optionalNumber("clock_error_ms", 0, MAX_NUMBER);
        int controllerCount = (int) deployment.number("size", 1, MAX_CONTROLLERS);
        return new Settings.Deployment(
                controllerCount,
                zones,
                clockErrorMs,
                teams,
                objectives,
                workerTimings,
                storeLimits,
                cloudLimits,
                processQuota);
    }

    private Map<String, Team> readTeams(TomlTable deployment) {
        Map<String, Team> teams = new LinkedHashMap<>();
        List<Team> listed =
                deployment.tables("teams").stream().map(SettingsReader::readTeam).toList();
        for (Team team : listed) {
            if (teams.put(team.name(), team) != null) {
                faults.add(
                        SettingsFault.duplicate("deployment.teams.name = \"" + team.name() + "\""));
            }
        }
        return teams;
    }

    private static Team readTeam(TomlTable table) {
        return new Team(
                table.text("name"),
                table.number("cpus", 0, MAX_NUMBER),
                readTeamLimit(table, "cpus_max"),
                table.optionalNumber("gpus", 0, MAX_NUMBER),
                readTeamLimit(table, "gpus_max"));
    }

    /**
     * Reads a team's limit. A missing limit or 0 means unlimited: with a limit of 0, every job of a
     * team such as guests would be refused.
     */
    private static double readTeamLimit(TomlTable team, String field) {
        double limit = team.optionalNumber(field, 0, MAX_NUMBER);
        return limit == 0 ? Double.POSITIVE_INFINITY : limit;
    }

    /** Reports weights of unknown teams, which can only be typing mistakes. */
    private void checkWeights(Map<String, Team> teams) {
        for (String weighted : operators.admission().weights().keySet()) {
            if (!teams.containsKey(weighted)) {
                faults.add(
                        new SettingsFault.InvalidElement(
                                "<team-weight team=\"" + weighted + "\"> in the operators' file",
                                "a team of deployment.teams, one of " + teams.keySet()));
            }
        }
    }

    private static Objective readObjective(TomlTable table) {
        return new Objective(
                table.text("kind"),
                table.optionalText("class"),
                table.optionalNumber("within_s", 0, MAX_NUMBER),
                table.optionalNumber("share", 0, 1),
                table.optionalNumber("times", 0, MAX_NUMBER));
    }

    private Settings.WorkerTimings readWorkerTimings(TomlTable table) {
        Settings.WorkerTimings timings =
                new Settings.WorkerTimings(
                        table.number("report_s", 0.05, MAX_HEARTBEAT_INTERVAL_S),
                        table.number("lease_s", 0.2, MAX_INTERVAL_S),
                        table.number("cancel_s", 0.2, MAX_INTERVAL_S));
        if (timings.leaseS() < timings.heartbeatIntervalS()) {
            faults.add(
                    new SettingsFault.InvalidValue(
                            table.pathOf("lease_s"),
                            String.valueOf(timings.leaseS()),
                            "at least report_s"));
        }
        return timings;
    }

    /**
     * Reads the current limits and those of {@code next}, which take effect later without notice.
     * Returns the lower of both, since all writes must comply with both in advance.
     */
    private static Settings.StoreLimits readStoreLimits(TomlTable current) {
        TomlTable next = current.optionalTable("next");
        return new Settings.StoreLimits(
                readLowerLimit(current, next, "rps", 1, 1e9),
                readLowerLimit(current, next, "write_rps", 1, 1e9),
                readLowerLimit(current, next, "value_kb", 1, 1e6),
                (int) readLowerLimit(current, next, "txn_ops", 2, 1e6));
    }

    private static double readLowerLimit(
            TomlTable current, TomlTable next, String field, double min, double max) {
        double limit = current.number(field, min, max);
        return next.has(field) ? Math.min(limit, next.number(field, min, max)) : limit;
    }

    private static Settings.CloudLimits readCloudLimits(TomlTable table) {
        return new Settings.CloudLimits(
                table.number("rps", 0.01, MAX_NUMBER),
                table.number("list_lag_s", 0, MAX_INTERVAL_S));
    }

    private static Settings.ProcessQuota readProcessQuota(TomlTable table) {
        return new Settings.ProcessQuota(
                table.number("core_share", 0.001, 1e6),
                table.number("mem_mb", 16, MAX_NUMBER),
                (int) table.number("sockets", 16, MAX_NUMBER));
    }
}
