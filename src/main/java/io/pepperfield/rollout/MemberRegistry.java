package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.Keys;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The releases that the configured controllers have declared, as the replica shows them. */
final class MemberRegistry {

    /** All configured controllers; a null value stands for one that has declared nothing. */
    private final Map<String, MemberRelease> members = new TreeMap<>();

    MemberRegistry(Settings settings) {
        members.put(settings.node(), null);
        settings.members().forEach(member -> members.put(member.node(), null));
    }

    /** News of a controller's key. */
    void changed(String node, JsonNode data, long stamp) {
        if (members.containsKey(node)) {
            members.put(node, data == null ? null : MemberRelease.read(data, stamp));
        }
    }

    Map<String, MemberRelease> members() {
        return members;
    }

    boolean isConfigured(String node) {
        return members.containsKey(node);
    }

    /** Why the version cannot be activated yet, a line for each controller that holds it up. */
    List<String> activationBlockers(int target, Collection<String> without) {
        List<String> lines = new ArrayList<>();
        members.forEach(
                (node, member) -> {
                    if (without.contains(node)) {
                        return;
                    }
                    if (member == null) {
                        lines.add(node + " has declared no release");
                    } else if (!member.supports(target)) {
                        lines.add(
                                node
                                        + " runs "
                                        + member.release().name()
                                        + ", which writes "
                                        + member.release().newestWritten());
                    }
                });
        return lines;
    }

    /** The conditions that these declarations still stand, each by the same process. */
    List<Precondition> preconditions(Collection<String> without) {
        List<Precondition> guards = new ArrayList<>();
        members.forEach(
                (node, member) -> {
                    if (!without.contains(node)) {
                        guards.add(
                                new Precondition(
                                        Keys.ROLLOUT_MEMBER_PREFIX + node, member.modRevision()));
                    }
                });
        return guards;
    }
}
