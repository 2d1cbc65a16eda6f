package io.pepperfield.config;

/** What operators can switch on; off, it costs nothing. */
public enum Feature {
    /** The rollout of stored-state versions, see {@code docs/operations/rollout.md}. */
    ROLLOUT("rollout"),

    /** Fair admission under overload, see {@code docs/operations/admission.md}. */
    ADMISSION("admission");

    private final String elementName;

    Feature(String element) {
        this.elementName = element;
    }

    /** The name of its element in the operators' file. */
    String elementName() {
        return elementName;
    }
}
