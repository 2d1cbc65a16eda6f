package io.pepperfield.standin;

import java.util.List;
import java.util.Locale;

/**
 * A decision of the controllers, as received by the machine or service that executes it.
 *
 * @param subject description of the decision that contains no names from the code
 */
public record Decision(Kind kind, String subject) {

    /** The kind of a decision. */
    public enum Kind {
        START,
        STOP,
        RENTAL,
        RETURN,
        FINAL_STATE;

        /** Returns the name of the kind in test data. */
        public String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    static Decision start(String task, int attempt, String machine) {
        return new Decision(Kind.START, task + " attempt " + attempt + " on " + machine);
    }

    static Decision stop(String task, int attempt, String machine) {
        return new Decision(Kind.STOP, task + " attempt " + attempt + " on " + machine);
    }

    static Decision rental(
            String request,
            int count,
            String type,
            String zone,
            boolean spot,
            List<String> machines) {
        return new Decision(
                Kind.RENTAL,
                String.format(
                        Locale.ROOT,
                        "%s: %d %s of type %s in %s, given %s",
                        request,
                        count,
                        spot ? "spot" : "ordinary",
                        type,
                        zone,
                        machines));
    }

    static Decision release(String machine) {
        return new Decision(Kind.RETURN, machine);
    }

    static Decision finalState(String job, String state) {
        return new Decision(Kind.FINAL_STATE, job + " " + state);
    }

    @Override
    public String toString() {
        return kind.label() + " " + subject;
    }
}
