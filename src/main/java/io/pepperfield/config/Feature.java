package io.pepperfield.config;

/** Optional features that operators can enable; a disabled feature has no overhead. */
public enum Feature {
    /** Rollout of stored-state versions, see {@code docs/operations/rollout.md}. */
    ROLLOUT("rollout"),

    /** Fair admission under overload, see {@code docs/operations/admission.md}. */
    ADMISSION("admission");

    private final String elementName;

    Feature(String element) {
        this.elementName = element;
    }

    /** Returns the name of the XML element that enables the feature. */
    String elementName() {
        return elementName;
    }
}
