package io.pepperfield.config;

/** One thing wrong with a settings file: which setting, which value, and what is expected. */
public sealed interface SettingsFault {

    /** The fault as an operator reads it. */
    String message();

    /** A required setting that is not there. */
    record Missing(String setting) implements SettingsFault {
        @Override
        public String message() {
            return setting + " is missing";
        }
    }

    /**
     * A setting with a value that cannot be used.
     *
     * @param value as the file has it
     * @param expected what is wanted instead
     */
    record InvalidValue(String setting, String value, String expected) implements SettingsFault {
        @Override
        public String message() {
            return setting + " = " + value + ": want " + expected;
        }
    }

    /** A part of the file that is incomplete or at the wrong place. */
    record InvalidElement(String element, String expected) implements SettingsFault {
        @Override
        public String message() {
            return element + ": want " + expected;
        }
    }

    /** A setting that must not be there: unknown, repeated or contradicting another. */
    record Rejected(String setting, String reason) implements SettingsFault {
        @Override
        public String message() {
            return setting + " " + reason;
        }
    }

    /** A file of which nothing can be read. */
    record Unreadable(String reason) implements SettingsFault {
        @Override
        public String message() {
            return reason;
        }
    }

    /** The same setting for the second time. */
    static SettingsFault duplicate(String setting) {
        return new Rejected(setting, "is there twice");
    }

    /** A file that the system does not let be read. */
    static SettingsFault unreadable(Exception cause) {
        return new Unreadable("cannot be read (" + cause.getClass().getSimpleName() + ")");
    }
}
