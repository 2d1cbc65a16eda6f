package io.pepperfield.forms;

import io.pepperfield.config.AdmissionSettings;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Operators;
import io.pepperfield.config.OperatorsReader;
import io.pepperfield.config.Settings;
import io.pepperfield.config.SettingsException;
import io.pepperfield.config.SettingsReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;

/**
 * The settings of the platform and of the operators: what is read of files, and what is refused.
 */
final class SettingsForms {

    private SettingsForms() {}

    /** With each line missing, and with a value of another type in each. */
    static void writePlatform(FormFile file) {
        List<String> lines = lines("settings.toml");
        file.add("all", platform(lines));
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            List<String> changed = new ArrayList<>(lines);
            changed.remove(i);
            file.add("without line " + (i + 1) + " " + line, platform(changed));
            int equals = line.indexOf('=');
            if (equals > 0) {
                changed.add(i, line.substring(0, equals) + "= true");
                file.add(changed.get(i), platform(changed));
                changed.set(i, line.substring(0, equals) + "= -1");
                file.add(changed.get(i), platform(changed));
            }
        }
    }

    private static List<String> lines(String name) {
        String text = new String(FormFile.input(name), StandardCharsets.UTF_8);
        return Arrays.asList(text.split("\n"));
    }

    private static String platform(List<String> lines) {
        try {
            return told(
                    SettingsReader.parse(
                            "settings.toml", String.join("\n", lines), Operators.DEFAULTS));
        } catch (SettingsException e) {
            return e.getMessage();
        }
    }

    private static String told(Settings settings) {
        Settings.Deployment deployment = settings.deployment();
        StringBuilder told = new StringBuilder();
        add(told, settings.node(), settings.zone(), settings.bind(), settings.peerListen());
        settings.members()
                .forEach(member -> add(told, member.node(), member.zone(), member.address()));
        add(told, settings.cloud(), settings.state(), deployment.size(), deployment.zones());
        add(told, deployment.clockErrorMs());
        for (Settings.Team team : deployment.teams().values()) {
            add(told, team.name(), team.cpus(), team.cpusMax(), team.gpus(), team.gpusMax());
        }
        for (Settings.Objective aim : deployment.objectives()) {
            add(told, aim.kind(), aim.workload(), aim.withinS(), aim.share(), aim.times());
        }
        Settings.Workers workers = deployment.workers();
        add(told, workers.reportS(), workers.leaseS(), workers.cancelS());
        Settings.State state = deployment.state();
        add(told, state.rps(), state.writeRps(), state.valueKb(), state.txnOps());
        add(told, deployment.cloud().rps(), deployment.cloud().listLagS());
        Settings.Quota quota = deployment.quota();
        add(told, quota.coreShare(), quota.memMb(), quota.sockets());
        return told.toString();
    }

    private static void add(StringBuilder told, Object... values) {
        told.append(told.length() == 0 ? "" : "; ");
        told.append(String.join(" ", Arrays.stream(values).map(String::valueOf).toList()));
    }

    /** With each element missing, with values at and beyond the bounds, and twice. */
    static void writeOperators(FormFile file) {
        file.add("no file", told(Operators.DEFAULTS));
        file.add("empty file", operators(List.of("<pepperfield/>")));
        List<String> lines = lines("operators.xml");
        file.add("all", operators(lines));
        for (int i = 1; i < lines.size() - 1; i++) {
            String line = lines.get(i).strip();
            List<String> changed = new ArrayList<>(lines);
            changed.remove(i);
            file.add("without " + line, operators(changed));
            for (String value : List.of("-1", "0", "1e9", "maybe")) {
                changed.add(i, line.replaceFirst(">[^<]*<", ">" + value + "<"));
                file.add(changed.get(i), operators(changed));
                changed.remove(i);
            }
            changed.add(i, line);
            changed.add(i, line);
            file.add("twice " + line, operators(changed));
        }
        file.add("unknown", operators(List.of("<pepperfield><charge>1</charge></pepperfield>")));
        file.add("other root", operators(List.of("<settings/>")));
    }

    private static String operators(List<String> lines) {
        try {
            byte[] xml = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
            return told(OperatorsReader.parse("operators.xml", xml));
        } catch (SettingsException e) {
            return e.getMessage();
        }
    }

    private static String told(Operators operators) {
        StringBuilder told = new StringBuilder();
        add(told, operators.chargeS(), operators.restartShare(), operators.partlyShare());
        add(told, operators.headroom(), operators.steady(), operators.silentAtOnce());
        add(told, "rollout", operators.enabled(Feature.ROLLOUT));
        add(told, "admission", operators.enabled(Feature.ADMISSION));
        AdmissionSettings admission = operators.admission();
        add(told, admission.acceptanceShare(), admission.reserveShare(), admission.band());
        add(told, admission.waitingLimitS(), new TreeMap<>(admission.weights()));
        return told.toString();
    }
}
