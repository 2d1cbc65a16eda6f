package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;
import java.util.Optional;

/**
 * What a controller's process has declared about its release.
 *
 * @param incarnation drawn by the process when it began
 * @param modRevision revision that wrote the declaration
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

    /** The declaration, or empty where it is none. */
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
            // An empty range confirms nothing.
            return Optional.empty();
        }
    }

    /** Whether the process reads and writes that version. */
    boolean supports(int target) {
        return release.newestRead() >= target && release.newestWritten() >= target;
    }
}
