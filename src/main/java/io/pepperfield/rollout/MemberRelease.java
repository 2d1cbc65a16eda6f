package io.pepperfield.rollout;

import com.fasterxml.jackson.databind.JsonNode;
import io.pepperfield.http.Json;

/**
 * What a controller's process has declared about its release.
 *
 * @param incarnation drawn by the process when it began
 * @param modRevision revision that wrote the declaration
 */
record MemberRelease(Release release, String incarnation, long modRevision) {

    JsonNode write() {
        return Json.object()
                .put("release", release.name())
                .put("oldestRead", release.oldestRead())
                .put("newestRead", release.newestRead())
                .put("writes", release.newestWritten())
                .put("incarnation", incarnation);
    }

    /** The declaration, or null where it is none. */
    static MemberRelease read(JsonNode data, long stamp) {
        try {
            return new MemberRelease(
                    new Release(
                            data.path("release").asText(),
                            data.path("oldestRead").asInt(),
                            data.path("newestRead").asInt(),
                            data.path("writes").asInt()),
                    data.path("incarnation").asText(),
                    stamp);
        } catch (IllegalArgumentException e) {
            // An empty range confirms nothing.
            return null;
        }
    }

    /** Whether the process reads and writes that version. */
    boolean supports(int target) {
        return release.newestRead() >= target && release.newestWritten() >= target;
    }
}
