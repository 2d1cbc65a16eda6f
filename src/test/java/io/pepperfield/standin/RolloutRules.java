package io.pepperfield.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableSet;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;

/**
 * What must hold of the keys after every transaction while stored-state versions change: a run
 * record is in one form only, nobody writes under a version that is not in force, and the leader
 * key is where the version says.
 */
final class RolloutRules {

    private static final String ROOT = "pepperfield/";
    private static final String VERSION = ROOT + "rollout/version";
    private static final String MEMBER = ROOT + "rollout/member/";
    private static final String SECOND_RUN = ROOT + "v2/run/";
    private static final String FIRST_RUN = ROOT + "run/";
    private static final Set<String> NEW_KEYS = Set.of(ROOT + "rollout/", ROOT + "v2/");

    /** Created once in the first form by every release, and read by every release. */
    private static final Set<String> FIRST_FORM_FOR_EVER = Set.of(ROOT + "job/", ROOT + "end/");

    private final DoubleSupplier clock;
    private final List<String> violations;

    /** Records of the second form since the version last changed. */
    private final Set<String> known = new HashSet<>();

    private int finalized = 1;

    RolloutRules(DoubleSupplier clock, List<String> violations) {
        this.clock = clock;
        this.violations = violations;
    }

    static boolean isFence(JsonNode leader) {
        return leader != null && leader.path("node").asText().equals("stored-version-fence");
    }

    static boolean isNewKey(String key) {
        return NEW_KEYS.stream().anyMatch(key::startsWith);
    }

    /** A transaction was carried out; {@code keys} and {@code get} show what there is now. */
    void checkCommit(
            JsonNode transaction, NavigableSet<String> keys, Function<String, JsonNode> get) {
        JsonNode version = get.apply(VERSION);
        int writes = version == null ? 1 : version.path("writes").asInt();
        boolean fenced = version != null && version.path("highest").asInt() > 1;
        boolean guarded = guardsVersion(transaction);
        for (JsonNode change : transaction.path("apply")) {
            String key = change.path(change.has("set") ? "set" : "delete").asText();
            if (!guarded && fenced && !mayBeUnguarded(key)) {
                violation("written without the version's guard", key);
            }
            if (change.has("delete")) {
                known.remove(key);
            } else if (key.equals(VERSION)) {
                versionChanged(version, fenced, keys, get);
            } else if (key.startsWith(SECOND_RUN)) {
                secondForm(key, writes, change, keys);
            } else if (key.startsWith(FIRST_RUN)) {
                String second = SECOND_RUN + key.substring(FIRST_RUN.length());
                if (keys.contains(second)) {
                    violation("in two forms", key);
                }
            }
        }
    }

    private static boolean guardsVersion(JsonNode transaction) {
        for (JsonNode guard : transaction.path("guards")) {
            if (guard.path("k").asText().equals(VERSION)) {
                return true;
            }
        }
        return false;
    }

    private static boolean mayBeUnguarded(String key) {
        return key.startsWith(MEMBER) || FIRST_FORM_FOR_EVER.stream().anyMatch(key::startsWith);
    }

    private void secondForm(String key, int writes, JsonNode change, NavigableSet<String> keys) {
        if (keys.contains(FIRST_RUN + key.substring(SECOND_RUN.length()))) {
            violation("in two forms", key);
        }
        if (change.path("data").path("v").asInt() != 2) {
            violation("without its version", key);
        }
        if (writes < 2 && !known.contains(key)) {
            violation("newly in the second form while the first is written", key);
        }
        known.add(key);
    }

    private void versionChanged(
            JsonNode version,
            boolean fenced,
            NavigableSet<String> keys,
            Function<String, JsonNode> get) {
        int nowFinal = version.path("finalized").asInt();
        if (nowFinal < finalized) {
            violation("no longer final", version.toString());
        }
        finalized = nowFinal;
        if (isFence(get.apply(ROOT + "leader")) != fenced) {
            violation("the leader key is not where the version says", version.toString());
        }
        String record = keys.ceiling(SECOND_RUN);
        if (!fenced && record != null && record.startsWith(SECOND_RUN)) {
            violation("left in the second form by a rollback", record);
        }
        known.clear();
        keys.tailSet(SECOND_RUN).stream()
                .filter(key -> key.startsWith(SECOND_RUN))
                .forEach(known::add);
    }

    private void violation(String what, String where) {
        violations.add(clock.getAsDouble() + " " + what + ": " + where);
    }
}
