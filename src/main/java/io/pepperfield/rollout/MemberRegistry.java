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

/** The releases that the configured controllers have declared, as the replica shows them. */
final class MemberRegistry {

    /** All configured controllers; empty is one that has declared nothing. */
    private final Map<String, Optional<MemberRelease>> members = new TreeMap<>();

    MemberRegistry(Settings settings) {
        members.put(settings.node(), Optional.empty());
        settings.members().forEach(member -> members.put(member.node(), Optional.empty()));
    }

    /** News of a controller's key. */
    void onMemberChanged(String node, JsonNode data, long modRevision) {
        if (members.containsKey(node)) {
            Optional<MemberRelease> declared =
                    Optional.ofNullable(data)
                            .flatMap(value -> MemberRelease.fromJson(value, modRevision));
            members.put(node, declared);
        }
    }

    /** By name, in its order. */
    Map<String, Optional<MemberRelease>> members() {
        return members;
    }

    boolean isConfigured(String node) {
        return members.containsKey(node);
    }

    /** Why the version cannot be activated yet, a line for each controller that holds it up. */
    List<String> activationBlockers(int target, Collection<String> without) {
        List<String> blockers = new ArrayList<>();
        members.forEach(
                (node, member) -> {
                    if (!without.contains(node) && !supports(member, target)) {
                        blockers.add(node + whyNotReady(member));
                    }
                });
        return blockers;
    }

    private static boolean supports(Optional<MemberRelease> member, int target) {
        return member.isPresent() && member.get().supports(target);
    }

    private static String whyNotReady(Optional<MemberRelease> member) {
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
     * The preconditions that these declarations still stand, each by the same process.
     *
     * @throws java.util.NoSuchElementException if one of them has declared nothing
     */
    List<Precondition> declarationPreconditions(Collection<String> without) {
        List<Precondition> preconditions = new ArrayList<>();
        members.forEach(
                (node, member) -> {
                    if (!without.contains(node)) {
                        preconditions.add(
                                new Precondition(
                                        Keys.ROLLOUT_MEMBER_PREFIX + node,
                                        member.orElseThrow().modRevision()));
                    }
                });
        return preconditions;
    }
}
