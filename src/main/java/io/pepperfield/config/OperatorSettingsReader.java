package io.pepperfield.config;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import javax.xml.XMLConstants;
import javax.xml.parsers.DocumentBuilder;
import javax.xml.parsers.DocumentBuilderFactory;
import javax.xml.parsers.ParserConfigurationException;
import org.w3c.dom.Element;
import org.w3c.dom.Node;
import org.xml.sax.ErrorHandler;
import org.xml.sax.SAXException;
import org.xml.sax.SAXParseException;

/**
 * Reads the operators' XML settings: {@code <pepperfield><charge-s>60</charge-s>...</pepperfield>}.
 * Unlike in the platform's TOML, an unknown element is a fault, since it can only be a typing
 * mistake.
 */
public final class OperatorSettingsReader {

    /** Numeric elements of the file, each with its name and range. */
    private enum Field {
        CHARGE_S("charge-s", 1, 86400),
        RESTART_SHARE("restart-share", 0, 1),
        PARTLY_SHARE("partly-share", 0, 1),
        HEADROOM("headroom", 0, 1),
        STEADY("steady", 0, 1),
        SILENT_AT_ONCE("silent-at-once", 1, 100_000),
        ADMISSION_SHARE("admission-share", 0.05, 1),
        ADMISSION_RESERVE("admission-reserve", 0.01, 0.9),
        ADMISSION_BAND("admission-band", 0.01, 1),
        ADMISSION_WAITING_LIMIT_S("admission-waiting-limit-s", 1, 86400);

        final String element;
        final double min;
        final double max;

        Field(String element, double min, double max) {
            this.element = element;
            this.min = min;
            this.max = max;
        }
    }

    private static final String ROOT = "pepperfield";
    private static final String TEAM_WEIGHT = "team-weight";
    private static final String TEAM_ATTRIBUTE = "team";
    private static final double MIN_WEIGHT = 0.001;
    private static final double MAX_WEIGHT = 1_000_000;
    private static final String ON = "on";
    private static final String OFF = "off";

    private OperatorSettingsReader() {}

    /** Reads and validates a file; the exception lists all faults. */
    public static OperatorSettings read(Path file) throws SettingsException {
        try {
            return parse(file.toString(), Files.readAllBytes(file));
        } catch (IOException e) {
            throw new SettingsException(file.toString(), List.of(SettingsFault.unreadable(e)));
        }
    }

    /** Parses and validates the contents of a file; {@code name} appears only in messages. */
    public static OperatorSettings parse(String name, byte[] xml) throws SettingsException {
        Element root = parseDocument(name, xml);
        List<SettingsFault> faults = new ArrayList<>();
        Map<Field, Double> values = new HashMap<>();
        Map<Feature, Boolean> features = new EnumMap<>(Feature.class);
        Map<String, Double> weights = new TreeMap<>();
        if (!root.getTagName().equals(ROOT)) {
            faults.add(
                    new SettingsFault.InvalidElement(
                            "root element <" + root.getTagName() + ">", "<" + ROOT + ">"));
        }
        for (Node child = root.getFirstChild(); child != null; child = child.getNextSibling()) {
            if (child instanceof Element element) {
                if (element.getTagName().equals(TEAM_WEIGHT)) {
                    readTeamWeight(element, weights, faults);
                } else if (!readFeature(element, features, faults)) {
                    readNumber(element, values, faults);
                }
            }
        }
        if (!faults.isEmpty()) {
            throw new SettingsException(name, faults);
        }
        return createOperatorSettings(values, features, weights);
    }

    private static OperatorSettings createOperatorSettings(
            Map<Field, Double> values,
            Map<Feature, Boolean> features,
            Map<String, Double> weights) {
        OperatorSettings defaults = OperatorSettings.DEFAULTS;
        return new OperatorSettings(
                values.getOrDefault(Field.CHARGE_S, defaults.billingUnitS()),
                values.getOrDefault(Field.RESTART_SHARE, defaults.restartCostShare()),
                values.getOrDefault(Field.PARTLY_SHARE, defaults.partialMachineShare()),
                values.getOrDefault(Field.HEADROOM, defaults.headroomQuantile()),
                values.getOrDefault(Field.STEADY, defaults.deferrableQuantile()),
                values.getOrDefault(
                                Field.SILENT_AT_ONCE,
                                (double) defaults.maxConcurrentUnresponsiveReleases())
                        .intValue(),
                features.keySet().stream()
                        .filter(features::get)
                        .collect(Collectors.toUnmodifiableSet()),
                createAdmissionSettings(values, weights));
    }

    private static AdmissionSettings createAdmissionSettings(
            Map<Field, Double> values, Map<String, Double> weights) {
        AdmissionSettings defaults = AdmissionSettings.DEFAULTS;
        return new AdmissionSettings(
                values.getOrDefault(Field.ADMISSION_SHARE, defaults.acceptanceShare()),
                values.getOrDefault(Field.ADMISSION_RESERVE, defaults.reserveShare()),
                values.getOrDefault(Field.ADMISSION_BAND, defaults.fairnessBand()),
                values.getOrDefault(Field.ADMISSION_WAITING_LIMIT_S, defaults.maxPredictedWaitS()),
                Map.copyOf(weights));
    }

    /**
     * Reads the weight of a team. Whether the team exists is checked against the platform's file.
     */
    private static void readTeamWeight(
            Element element, Map<String, Double> weights, List<SettingsFault> faults) {
        String team = element.getAttribute(TEAM_ATTRIBUTE);
        double weight = parseNumber(element.getTextContent().strip());
        if (team.isEmpty()) {
            faults.add(
                    new SettingsFault.InvalidElement(
                            "<" + TEAM_WEIGHT + ">", "the attribute " + TEAM_ATTRIBUTE));
        } else if (!(weight >= MIN_WEIGHT && weight <= MAX_WEIGHT)) {
            faults.add(
                    outOfRange(
                            TEAM_WEIGHT + " team=\"" + team + "\"",
                            element.getTextContent().strip(),
                            MIN_WEIGHT,
                            MAX_WEIGHT));
        } else if (weights.put(team, weight) != null) {
            faults.add(SettingsFault.duplicate("<" + TEAM_WEIGHT + " team=\"" + team + "\">"));
        }
    }

    private static double parseNumber(String text) {
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            return Double.NaN;
        }
    }

    private static SettingsFault outOfRange(String tag, String text, double min, double max) {
        return invalidValue(tag, text, "a number from " + min + " to " + max);
    }

    private static SettingsFault invalidValue(String tag, String text, String expected) {
        return new SettingsFault.InvalidValue("<" + tag + ">", "\"" + text + "\"", expected);
    }

    /** Reads the on/off value of a feature; returns false if the element is not a feature. */
    private static boolean readFeature(
            Element element, Map<Feature, Boolean> features, List<SettingsFault> faults) {
        String tag = element.getTagName();
        String text = element.getTextContent().strip();
        for (Feature feature : Feature.values()) {
            if (!feature.elementName().equals(tag)) {
                continue;
            }
            if (!text.equals(ON) && !text.equals(OFF)) {
                faults.add(invalidValue(tag, text, ON + " or " + OFF));
            } else if (features.put(feature, text.equals(ON)) != null) {
                faults.add(SettingsFault.duplicate("<" + tag + ">"));
            }
            return true;
        }
        return false;
    }

    private static void readNumber(
            Element element, Map<Field, Double> values, List<SettingsFault> faults) {
        String tag = element.getTagName();
        String text = element.getTextContent().strip();
        for (Field field : Field.values()) {
            if (!field.element.equals(tag)) {
                continue;
            }
            double value = parseNumber(text);
            if (!(value >= field.min && value <= field.max)) {
                faults.add(outOfRange(tag, text, field.min, field.max));
            } else if (values.put(field, value) != null) {
                faults.add(SettingsFault.duplicate("<" + tag + ">"));
            }
            return;
        }
        faults.add(new SettingsFault.Rejected("<" + tag + ">", "is not a setting"));
    }

    private static Element parseDocument(String name, byte[] xml) throws SettingsException {
        try {
            DocumentBuilderFactory factory = DocumentBuilderFactory.newInstance();
            // Rejects external files and entity expansion, which a settings file does not need.
            factory.setFeature("http://apache.org/xml/features/disallow-doctype-decl", true);
            factory.setFeature(XMLConstants.FEATURE_SECURE_PROCESSING, true);
            DocumentBuilder builder = factory.newDocumentBuilder();
            builder.setErrorHandler(new ThrowingErrorHandler());
            return builder.parse(new ByteArrayInputStream(xml)).getDocumentElement();
        } catch (SAXParseException e) {
            throw new SettingsException(
                    name,
                    List.of(
                            new SettingsFault.Unreadable(
                                    "is not XML in line "
                                            + e.getLineNumber()
                                            + ": "
                                            + e.getMessage())));
        } catch (SAXException | IOException | ParserConfigurationException e) {
            throw new SettingsException(
                    name, List.of(new SettingsFault.Unreadable("is not XML: " + e.getMessage())));
        }
    }

    /** Only throws, unlike the parser's default handler, which also prints to standard error. */
    private static final class ThrowingErrorHandler implements ErrorHandler {
        @Override
        public void warning(SAXParseException exception) {}

        @Override
        public void error(SAXParseException exception) throws SAXException {
            throw exception;
        }

        @Override
        public void fatalError(SAXParseException exception) throws SAXException {
            throw exception;
        }
    }
}
