package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import java.util.Optional;

/**
 * The release that a controller process has declared.
 *
 * @param incarnation random identifier of the process, generated when it starts
 * @param modRevision modification revision of the declaration's key
 */
record MemberRelease(Release release, String incarnation, long modRevision) {

    JsonNode toJson() {
        return Json.object()
                .put("release", release.name())
                .put("oldestRead", release.oldestRead())
                .put("newestRead", release.newestRead())
                .put("writes", release.newestWritten())
                .put("incarnation", incarnation);
    }

    /** Parses a declaration; empty if it is invalid. */
    static Optional<MemberRelease> fromJson(JsonNode data, long modRevision) {
        try {
            Release release =
                    new Release(
                            data.path("release").asText(),
                            data.path("oldestRead").asInt(),
                            data.path("newestRead").asInt(),
                            data.path("writes").asInt());
            String incarnation = data.path("incarnation").asText();
            return Optional.of(new MemberRelease(release, incarnation, modRevision));
        } catch (IllegalArgumentException e) {
            // Inconsistent version numbers do not show that the process supports any version.
            return Optional.empty();
        }
    }

    /** Whether the process reads and writes the version. */
    boolean supports(int target) {
        return release.newestRead() >= target && release.newestWritten() >= target;
    }
}
