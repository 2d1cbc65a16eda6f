package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.config.Settings;
import io.pepperfield.store.KeyValueStore.Precondition;
import io.pepperfield.store.Keys;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** The releases that the configured controllers have declared, according to the local replica. */
final class MemberRegistry {

    /** All configured controllers; empty for a controller without a declaration. */
    private final Map<String, Optional<MemberRelease>> members = new TreeMap<>();

    MemberRegistry(Settings settings) {
        members.put(settings.node(), Optional.empty());
        settings.members().forEach(member -> members.put(member.node(), Optional.empty()));
    }

    /** Handles a change of a controller's declaration; null data means that it was deleted. */
    void onMemberChanged(String node, JsonNode data, long modRevision) {
        if (members.containsKey(node)) {
            Optional<MemberRelease> declared =
                    Optional.ofNullable(data)
                            .flatMap(value -> MemberRelease.fromJson(value, modRevision));
            members.put(node, declared);
        }
    }

    /** The declarations by controller name, in the order of the names. */
    Map<String, Optional<MemberRelease>> members() {
        return members;
    }

    boolean isConfigured(String node) {
        return members.containsKey(node);
    }

    /**
     * Why the version cannot be activated yet, one line per controller that blocks the activation.
     */
    List<String> activationBlockers(int target, Collection<String> excluded) {
        List<String> blockers = new ArrayList<>();
        members.forEach(
                (node, member) -> {
                    if (!excluded.contains(node) && !supports(member, target)) {
                        blockers.add(node + blockerReason(member));
                    }
                });
        return blockers;
    }

    private static boolean supports(Optional<MemberRelease> member, int target) {
        return member.isPresent() && member.get().supports(target);
    }

    private static String blockerReason(Optional<MemberRelease> member) {
        return member.map(MemberRelease::release)
                .map(
                        release ->
                                " runs "
                                        + release.name()
                                        + ", which writes "
                                        + release.newestWritten())
                .orElse(" has declared no release");
    }

    /**
     * The preconditions that the declarations of all controllers that are not excluded are
     * unchanged, and thus still come from the same processes.
     *
     * @throws java.util.NoSuchElementException if one of these controllers has no declaration
     */
    List<Precondition> declarationPreconditions(Collection<String> excluded) {
        List<Precondition> preconditions = new ArrayList<>();
        members.forEach(
                (node, member) -> {
                    if (!excluded.contains(node)) {
                        preconditions.add(
                                new Precondition(
                                        Keys.ROLLOUT_MEMBER_PREFIX + node,
                                        member.orElseThrow().modRevision()));
                    }
                });
        return preconditions;
    }
}
