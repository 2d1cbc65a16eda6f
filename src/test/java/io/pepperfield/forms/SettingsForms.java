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
 * The platform settings and the operator settings: decoded files and the errors of invalid files.
 */
final class SettingsForms {

    private SettingsForms() {}

    /** Adds the settings without each line in turn, and with {@code true} and -1 as its value. */
    static void writePlatform(GoldenFile file) {
        List<String> lines = readLines("settings.toml");
        file.add("all", parsePlatform(lines));
        writeTableMutations(file, lines);
        writeObjectives(file);
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i);
            List<String> changed = new ArrayList<>(lines);
            changed.remove(i);
            file.add("without line " + (i + 1) + " " + line, parsePlatform(changed));
            int equals = line.indexOf('=');
            if (equals > 0) {
                changed.add(i, line.substring(0, equals) + "= true");
                file.add(changed.get(i), parsePlatform(changed));
                changed.set(i, line.substring(0, equals) + "= -1");
                file.add(changed.get(i), parsePlatform(changed));
            }
        }
    }

    /** Adds the settings without each table and its nested tables, and with a number instead. */
    private static void writeTableMutations(GoldenFile file, List<String> lines) {
        for (int i = 0; i < lines.size(); i++) {
            if (lines.get(i).startsWith("[")) {
                String name = lines.get(i).replaceAll("[\\[\\]]", "");
                List<String> changed = new ArrayList<>(lines);
                changed.remove(i);
                while (i < changed.size() && !isOutsideTable(changed.get(i), name)) {
                    changed.remove(i);
                }
                file.add("without the table " + name, parsePlatform(changed));
                int dot = name.lastIndexOf('.');
                String parent = dot < 0 ? "" : "[" + name.substring(0, dot) + "]";
                changed.add(changed.indexOf(parent) + 1, name.substring(dot + 1) + " = 1");
                file.add("with a number as " + name, parsePlatform(changed));
            }
        }
    }

    private static boolean isOutsideTable(String line, String name) {
        return line.startsWith("[") && !line.replace("[", "").startsWith(name + ".");
    }

    /** Adds the bounds that result from each kind of objective. */
    private static void writeObjectives(GoldenFile file) {
        for (String kind : List.of("wait", "finished", "submit", "useful")) {
            Objectives objectives =
                    new Objectives(List.of(new Settings.Objective(kind, "recon", 30, 0.9, 0)));
            file.add(
                    "objective " + kind,
                    objectives.maxWaitS("recon")
                            + " "
                            + objectives.nextFinishDeadlineS("recon", 0));
        }
    }

    private static List<String> readLines(String name) {
        String text = new String(GoldenFile.readInput(name), StandardCharsets.UTF_8);
        return Arrays.asList(text.split("\n"));
    }

    private static String parsePlatform(List<String> lines) {
        try {
            return describe(
                    SettingsReader.parse(
                            "settings.toml", String.join("\n", lines), OperatorSettings.DEFAULTS));
        } catch (SettingsException e) {
            return e.getMessage();
        }
    }

    private static String describe(Settings settings) {
        Settings.Deployment deployment = settings.deployment();
        StringBuilder text = new StringBuilder();
        append(
                text,
                settings.node(),
                settings.zone(),
                settings.bindAddress(),
                settings.peerAddress());
        settings.members()
                .forEach(member -> append(text, member.node(), member.zone(), member.address()));
        append(
                text,
                settings.cloudAddress(),
                settings.storeAddress(),
                deployment.controllerCount(),
                deployment.zones());
        append(text, deployment.clockErrorMs());
        for (Settings.Team team : deployment.teams().values()) {
            append(
                    text,
                    team.name(),
                    team.guaranteedCpus(),
                    team.cpuLimit(),
                    team.guaranteedGpus(),
                    team.gpuLimit());
        }
        for (Settings.Objective objective : deployment.objectives()) {
            append(
                    text,
                    objective.kind(),
                    objective.workload(),
                    objective.withinS(),
                    objective.share(),
                    objective.times());
        }
        Settings.WorkerTimings workers = deployment.workerTimings();
        append(
                text,
                workers.heartbeatIntervalS(),
                workers.leaseS(),
                workers.cancellationDeadlineS());
        Settings.StoreLimits storeLimits = deployment.storeLimits();
        append(
                text,
                storeLimits.requestsPerS(),
                storeLimits.writesPerS(),
                storeLimits.maxValueKib(),
                storeLimits.maxTransactionOps());
        append(
                text,
                deployment.cloudLimits().requestsPerS(),
                deployment.cloudLimits().listDelayS());
        Settings.ProcessQuota quota = deployment.processQuota();
        append(text, quota.coreShare(), quota.memoryMb(), quota.maxSockets());
        return text.toString();
    }

    private static void append(StringBuilder text, Object... values) {
        text.append(text.length() == 0 ? "" : "; ");
        text.append(String.join(" ", Arrays.stream(values).map(String::valueOf).toList()));
    }

    /** Adds the settings with each element missing, at and beyond its bounds, and duplicated. */
    static void writeOperators(GoldenFile file) {
        file.add("no file", describe(OperatorSettings.DEFAULTS));
        file.add("empty file", parseOperators(List.of("<pepperfield/>")));
        List<String> lines = readLines("operators.xml");
        file.add("all", parseOperators(lines));
        for (int i = 1; i < lines.size() - 1; i++) {
            String line = lines.get(i).strip();
            List<String> changed = new ArrayList<>(lines);
            changed.remove(i);
            file.add("without " + line, parseOperators(changed));
            for (String value : List.of("-1", "0", "1e9", "maybe")) {
                changed.add(i, line.replaceFirst(">[^<]*<", ">" + value + "<"));
                file.add(changed.get(i), parseOperators(changed));
                changed.remove(i);
            }
            changed.add(i, line);
            changed.add(i, line);
            file.add("twice " + line, parseOperators(changed));
        }
        file.add(
                "unknown",
                parseOperators(List.of("<pepperfield><charge>1</charge></pepperfield>")));
        file.add("other root", parseOperators(List.of("<settings/>")));
    }

    private static String parseOperators(List<String> lines) {
        try {
            byte[] xml = String.join("\n", lines).getBytes(StandardCharsets.UTF_8);
            return describe(OperatorSettingsReader.parse("operators.xml", xml));
        } catch (SettingsException e) {
            return e.getMessage();
        }
    }

    private static String describe(OperatorSettings operators) {
        StringBuilder text = new StringBuilder();
        append(
                text,
                operators.billingUnitS(),
                operators.restartCostShare(),
                operators.partialMachineShare());
        append(
                text,
                operators.headroomQuantile(),
                operators.deferrableQuantile(),
                operators.maxConcurrentUnresponsiveReleases());
        append(text, "rollout", operators.isEnabled(Feature.ROLLOUT));
        append(text, "admission", operators.isEnabled(Feature.ADMISSION));
        AdmissionSettings admission = operators.admission();
        append(
                text,
                admission.acceptanceShare(),
                admission.reserveShare(),
                admission.fairnessBand());
        append(text, admission.maxPredictedWaitS(), new TreeMap<>(admission.weights()));
        return text.toString();
    }
}
