package io.pepperfield.forms;

import io.pepperfield.config.AdmissionSettings;
import io.pepperfield.config.Feature;
import io.pepperfield.config.Objectives;
import io.pepperfield.config.OperatorSettings;
import io.pepperfield.config.OperatorSettingsReader;
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
    static void writePlatform(GoldenFile file) {
        List<String> lines = lines("settings.toml");
        file.add("all", platform(lines));
        writeTables(file, lines);
        writeObjectives(file);
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

    /** With each table and those in it missing, and with a number in its place. */
    private static void writeTables(GoldenFile file, List<String> lines) {
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).startsWith("[")) {
                String name = lines.get(i).replaceAll("[\\[\\]]", "");
                List<String> changed = new ArrayList<>(lines);
                changed.remove(i);
                while (i < changed.size() && !isOtherTable(changed.get(i), name)) {
                    changed.remove(i);
                }
                file.add("without the table " + name, platform(changed));
                int dot = name.lastIndexOf('.');
                String parent = dot < 0 ? "" : "[" + name.substring(0, dot) + "]";
                changed.add(changed.indexOf(parent) + 1, name.substring(dot + 1) + " = 1");
                file.add("with a number as " + name, platform(changed));
            }
        }
    }

    private static boolean isOtherTable(String line, String name) {
        return line.startsWith("[") && !line.replace("[", "").startsWith(name + ".");
    }

    /** The kinds of objectives that count. */
    private static void writeObjectives(GoldenFile file) {
        for (String kind : List.of("wait", "finished", "submit", "useful")) {
            Objectives aims =
                    new Objectives(List.of(new Settings.Objective(kind, "recon", 30, 0.9, 0)));
            file.add(
                    "objective " + kind,
                    aims.maxWaitS("recon") + " " + aims.nextFinishDeadlineS("recon", 0));
        }
    }

    private static List<String> lines(String name) {
        String text = new String(GoldenFile.readInput(name), StandardCharsets.UTF_8);
        return Arrays.asList(text.split("\n"));
    }

    private static String platform(List<String> lines) {
        try {
            return told(
                    SettingsReader.parse(
                            "settings.toml", String.join("\n", lines), OperatorSettings.DEFAULTS));
        } catch (SettingsException e) {
            return e.getMessage();
        }
    }

    private static String told(Settings settings) {
        Settings.Deployment deployment = settings.deployment();
        StringBuilder told = new StringBuilder();
        add(told, settings.node(), settings.zone(), settings.bindAddress(), settings.peerAddress());
        settings.members()
                .forEach(member -> add(told, member.node(), member.zone(), member.address()));
        add(
                told,
                settings.cloudAddress(),
                settings.storeAddress(),
                deployment.controllerCount(),
                deployment.zones());
        add(told, deployment.clockErrorMs());
        for (Settings.Team team : deployment.teams().values()) {
            add(
                    told,
                    team.name(),
                    team.guaranteedCpus(),
                    team.cpuLimit(),
                    team.guaranteedGpus(),
                    team.gpuLimit());
        }
        for (Settings.Objective aim : deployment.objectives()) {
            add(told, aim.kind(), aim.workload(), aim.withinS(), aim.share(), aim.times());
        }
        Settings.WorkerTimings workers = deployment.workerTimings();
        add(told, workers.heartbeatIntervalS(), workers.leaseS(), workers.cancellationDeadlineS());
        Settings.StoreLimits state = deployment.storeLimits();
        add(
                told,
                state.requestsPerS(),
                state.writesPerS(),
                state.maxValueKib(),
                state.maxTransactionOps());
        add(told, deployment.cloudLimits().requestsPerS(), deployment.cloudLimits().listDelayS());
        Settings.ProcessQuota quota = deployment.processQuota();
        add(told, quota.coreShare(), quota.memoryMb(), quota.maxSockets());
        return told.toString();
    }

    private static void add(StringBuilder told, Object... values) {
        told.append(told.length() == 0 ? "" : "; ");
        told.append(String.join(" ", Arrays.stream(values).map(String::valueOf).toList()));
    }

    /** With each element missing, with values at and beyond the bounds, and twice. */
    static void writeOperators(GoldenFile file) {
        file.add("no file", told(OperatorSettings.DEFAULTS));
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
            return told(OperatorSettingsReader.parse("operators.xml", xml));
        } catch (SettingsException e) {
            return e.getMessage();
        }
    }

    private static String told(OperatorSettings operators) {
        StringBuilder told = new StringBuilder();
        add(
                told,
                operators.billingUnitS(),
                operators.restartCostShare(),
                operators.partialMachineShare());
        add(
                told,
                operators.headroomQuantile(),
                operators.deferrableQuantile(),
                operators.maxConcurrentUnresponsiveReleases());
        add(told, "rollout", operators.isEnabled(Feature.ROLLOUT));
        add(told, "admission", operators.isEnabled(Feature.ADMISSION));
        AdmissionSettings admission = operators.admission();
        add(told, admission.acceptanceShare(), admission.reserveShare(), admission.fairnessBand());
        add(told, admission.maxPredictedWaitS(), new TreeMap<>(admission.weights()));
        return told.toString();
    }
}
