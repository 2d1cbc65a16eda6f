package io.pepperfield.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.pepperfield.config.Settings.Address;
import java.util.ArrayList;
import java.util.List;

/**
 * A table of a TOML file. Reads do not throw: a missing or invalid value is added to the faults,
 * and the caller gets a placeholder. A missing table is a single fault; its fields are not
 * reported.
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
     * Returns the root table of a file.
     *
     * @param faults list to which the faults of all tables are added
     */
    static TomlTable root(JsonNode node, List<SettingsFault> faults) {
        return new TomlTable(node, "", faults);
    }

    /** Returns the full path of a field, including the tables that contain it. */
    String pathOf(String field) {
        return prefix + field;
    }

    boolean has(String field) {
        return !node.path(field).isMissingNode();
    }

    /** Reads a required table. */
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

    /** Reads an optional table, which is empty if missing. */
    TomlTable optionalTable(String field) {
        return has(field) ? table(field) : child(MissingNode.getInstance(), field);
    }

    /** Reads an optional array of tables, which is empty if missing. */
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

    /** Reads an optional array of strings; elements of other types are faults. */
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

    /** Reads a required string that must not be blank. */
    String text(String field) {
        JsonNode value = node.path(field);
        if (value.isTextual() && !value.textValue().isBlank()) {
            return value.textValue();
        }
        addFieldFault(field, value, "a name");
        return "";
    }

    /** Reads an optional string, which is empty if missing. */
    String optionalText(String field) {
        return node.path(field).asText("");
    }

    /** Reads a required host and port. */
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

    /** Reads a required number within a range; returns {@code min} if it is missing or invalid. */
    double number(String field, double min, double max) {
        JsonNode value = node.path(field);
        double number = value.asDouble(Double.NaN);
        if (value.isNumber() && number >= min && number <= max) {
            return number;
        }
        addFieldFault(field, value, "a number from " + format(min) + " to " + format(max));
        return min;
    }

    /** Reads an optional number within a range, which is 0 if missing. */
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
