package io.pepperfield.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.pepperfield.config.Settings.Address;
import java.util.ArrayList;
import java.util.List;

/**
 * One table of a TOML file. Reading never fails: what is missing or wrong is added to the faults,
 * and the caller gets a placeholder. A table that is missing altogether is one fault; its fields
 * are none.
 */
final class TomlTable {

    private static final int MAX_PORT = 65535;
    private static final Address NO_ADDRESS = new Address("", 0);

    private final JsonNode node;
    private final String prefix;
    private final List<SettingsFault> faults;

    private TomlTable(JsonNode node, String prefix, List<SettingsFault> faults) {
        this.node = node;
        this.prefix = prefix;
        this.faults = faults;
    }

    /**
     * The table of a whole file.
     *
     * @param faults to which those of all its tables are added
     */
    static TomlTable root(JsonNode node, List<SettingsFault> faults) {
        return new TomlTable(node, "", faults);
    }

    /** The name of a field with all tables that it is in. */
    String pathOf(String field) {
        return prefix + field;
    }

    boolean has(String field) {
        return !node.path(field).isMissingNode();
    }

    /** A table that must be there. */
    TomlTable table(String field) {
        JsonNode value = node.path(field);
        if (value.isObject()) {
            return child(value, field);
        }
        faults.add(
                value.isMissingNode()
                        ? new SettingsFault.Missing(pathOf(field))
                        : invalid(field, value, "a table"));
        return child(MissingNode.getInstance(), field);
    }

    /** A table that may be left out, and is empty then. */
    TomlTable optionalTable(String field) {
        return has(field) ? table(field) : child(MissingNode.getInstance(), field);
    }

    /** An array of tables, empty where it is left out. */
    List<TomlTable> tables(String field) {
        JsonNode value = node.path(field);
        List<TomlTable> tables = new ArrayList<>();
        if (value.isMissingNode() || value.isArray()) {
            value.forEach(item -> tables.add(child(item, field)));
        } else {
            faults.add(invalid(field, value, "an array of tables"));
        }
        return tables;
    }

    private TomlTable child(JsonNode value, String field) {
        return new TomlTable(value, pathOf(field) + ".", faults);
    }

    /** An array of names; whatever else is in it is a fault. */
    List<String> names(String field) {
        List<String> names = new ArrayList<>();
        for (JsonNode item : node.path(field)) {
            if (item.isTextual()) {
                names.add(item.textValue());
            } else {
                faults.add(invalid(field, item, "names"));
            }
        }
        return names;
    }

    /** A text that must be there and not blank. */
    String text(String field) {
        JsonNode value = node.path(field);
        if (value.isTextual() && !value.textValue().isBlank()) {
            return value.textValue();
        }
        addFieldFault(field, value, "a name");
        return "";
    }

    /** A text that may be left out, and is empty then. */
    String optionalText(String field) {
        return node.path(field).asText("");
    }

    /** A host and port that must be there. */
    Address address(String field) {
        String value = text(field);
        if (value.isEmpty()) {
            return NO_ADDRESS;
        }
        int colon = value.lastIndexOf(':');
        int port = parsePort(value.substring(colon + 1));
        if (colon < 1 || port < 0 || port > MAX_PORT) {
            faults.add(
                    new SettingsFault.InvalidValue(
                            pathOf(field), "\"" + value + "\"", "HOST:PORT"));
            return NO_ADDRESS;
        }
        return new Address(value.substring(0, colon), port);
    }

    private static int parsePort(String text) {
        try {
            return Integer.parseInt(text);
        } catch (NumberFormatException e) {
            return -1;
        }
    }

    /**
     * A number within bounds that must be there; {@code min} stands for one that cannot be used.
     */
    double number(String field, double min, double max) {
        JsonNode value = node.path(field);
        double number = value.asDouble(Double.NaN);
        if (value.isNumber() && number >= min && number <= max) {
            return number;
        }
        addFieldFault(field, value, "a number from " + format(min) + " to " + format(max));
        return min;
    }

    /** A number within bounds that may be left out, and is 0 then. */
    double optionalNumber(String field, double min, double max) {
        return has(field) ? number(field, min, max) : 0;
    }

    private static String format(double bound) {
        return bound == Math.rint(bound) ? String.valueOf((long) bound) : String.valueOf(bound);
    }

    private void addFieldFault(String field, JsonNode value, String expected) {
        if (node.isMissingNode()) {
            return;
        }
        faults.add(
                value.isMissingNode()
                        ? new SettingsFault.Missing(pathOf(field))
                        : invalid(field, value, expected));
    }

    private SettingsFault invalid(String field, JsonNode value, String expected) {
        return new SettingsFault.InvalidValue(pathOf(field), value.toString(), expected);
    }
}
