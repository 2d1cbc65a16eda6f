package io.pepperfield.config;

/** A fault in a settings file: the setting, its value and the expected value. */
public sealed interface SettingsFault {

    /** Returns the message for operators. */
    String message();

    /** A missing required setting. */
    record Missing(String setting) implements SettingsFault {
        @Override
        public String message() {
            return setting + " is missing";
        }
    }

    /**
     * A setting with an invalid value.
     *
     * @param value the value as written in the file
     * @param expected description of valid values
     */
    record InvalidValue(String setting, String value, String expected) implements SettingsFault {
        @Override
        public String message() {
            return setting + " = " + value + ": want " + expected;
        }
    }

    /** An incomplete or misplaced element of the file. */
    record InvalidElement(String element, String expected) implements SettingsFault {
        @Override
        public String message() {
            return element + ": want " + expected;
        }
    }

    /** A setting that is not allowed: unknown, repeated or in conflict with another setting. */
    record Rejected(String setting, String reason) implements SettingsFault {
        @Override
        public String message() {
            return setting + " " + reason;
        }
    }

    /** A file that cannot be read or parsed. */
    record Unreadable(String reason) implements SettingsFault {
        @Override
        public String message() {
            return reason;
        }
    }

    /** Creates the fault for a setting that occurs twice. */
    static SettingsFault duplicate(String setting) {
        return new Rejected(setting, "is there twice");
    }

    /** Creates the fault for a file that caused an I/O error. */
    static SettingsFault unreadable(Exception cause) {
        return new Unreadable("cannot be read (" + cause.getClass().getSimpleName() + ")");
    }
}
