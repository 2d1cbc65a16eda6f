package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;

/**
 * Invariants of the keys after every transaction while stored-state versions change: a run record
 * exists in one format only, no controller writes under a version that is not active, and the
 * leader key is at the location that the active version defines.
 */
final class RolloutRules {

    private static final String ROOT = "pepperfield/";
    private static final String VERSION_KEY = ROOT + "rollout/version";
    private static final String MEMBER_PREFIX = ROOT + "rollout/member/";
    private static final String V2_RUN_PREFIX = ROOT + "v2/run/";
    private static final String V1_RUN_PREFIX = ROOT + "run/";
    private static final Set<String> NEW_KEY_PREFIXES = Set.of(ROOT + "rollout/", ROOT + "v2/");

    /** Every release creates these records once in the first format and reads that format. */
    private static final Set<String> ALWAYS_V1_PREFIXES = Set.of(ROOT + "job/", ROOT + "end/");

    private final DoubleSupplier clock;
    private final List<String> violations;

    /** Keys of records in the second format since the last change of the version. */
    private final Set<String> secondFormatKeys = new HashSet<>();

    private int finalized = 1;

    RolloutRules(DoubleSupplier clock, List<String> violations) {
        this.clock = clock;
        this.violations = violations;
    }

    static boolean isFence(JsonNode leader) {
        return leader != null && leader.path("node").asText().equals("stored-version-fence");
    }

    static boolean isNewKey(String key) {
        return NEW_KEY_PREFIXES.stream().anyMatch(key::startsWith);
    }

    /**
     * Checks a committed transaction; {@code keys} and {@code get} show the state after the commit.
     */
    void checkCommit(
            JsonNode transaction, NavigableSet<String> keys, Function<String, JsonNode> get) {
        JsonNode version = get.apply(VERSION_KEY);
        int writes = version == null ? 1 : version.path("writes").asInt();
        boolean fenced = version != null && version.path("highest").asInt() > 1;
        boolean guarded = guardsVersion(transaction);
        for (JsonNode change : transaction.path("apply")) {
            String key = change.path(change.has("set") ? "set" : "delete").asText();
            if (!guarded && fenced && !mayBeUnguarded(key)) {
                reportViolation("written without a guard on the stored-state version", key);
            }
            if (change.has("delete")) {
                secondFormatKeys.remove(key);
            } else if (key.equals(VERSION_KEY)) {
                checkVersionChange(version, fenced, keys, get);
            } else if (key.startsWith(V2_RUN_PREFIX)) {
                checkV2Record(key, writes, change, keys);
            } else if (key.startsWith(V1_RUN_PREFIX)) {
                String v2Key = V2_RUN_PREFIX + key.substring(V1_RUN_PREFIX.length());
                if (keys.contains(v2Key)) {
                    reportViolation("run record in two formats", key);
                }
            }
        }
    }

    private static boolean guardsVersion(JsonNode transaction) {
        for (JsonNode guard : transaction.path("guards")) {
            if (guard.path("k").asText().equals(VERSION_KEY)) {
                return true;
            }
        }
        return false;
    }

    private static boolean mayBeUnguarded(String key) {
        return key.startsWith(MEMBER_PREFIX)
                || ALWAYS_V1_PREFIXES.stream().anyMatch(key::startsWith);
    }

    private void checkV2Record(String key, int writes, JsonNode change, NavigableSet<String> keys) {
        if (keys.contains(V1_RUN_PREFIX + key.substring(V2_RUN_PREFIX.length()))) {
            reportViolation("run record in two formats", key);
        }
        if (change.path("data").path("v").asInt() != 2) {
            reportViolation("record without its format version", key);
        }
        if (writes < 2 && !secondFormatKeys.contains(key)) {
            reportViolation("new record in the second format while the first is active", key);
        }
        secondFormatKeys.add(key);
    }

    private void checkVersionChange(
            JsonNode version,
            boolean fenced,
            NavigableSet<String> keys,
            Function<String, JsonNode> get) {
        int newFinalized = version.path("finalized").asInt();
        if (newFinalized < finalized) {
            reportViolation("finalized version decreased", version.toString());
        }
        finalized = newFinalized;
        if (isFence(get.apply(ROOT + "leader")) != fenced) {
            reportViolation(
                    "leader key not at the location of the active version", version.toString());
        }
        String record = keys.ceiling(V2_RUN_PREFIX);
        if (!fenced && record != null && record.startsWith(V2_RUN_PREFIX)) {
            reportViolation("record still in the second format after a rollback", record);
        }
        secondFormatKeys.clear();
        keys.tailSet(V2_RUN_PREFIX).stream()
                .filter(key -> key.startsWith(V2_RUN_PREFIX))
                .forEach(secondFormatKeys::add);
    }

    private void reportViolation(String description, String location) {
        violations.add(clock.getAsDouble() + " " + description + ": " + location);
    }
}
