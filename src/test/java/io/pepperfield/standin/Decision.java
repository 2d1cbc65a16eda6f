package io.pepperfield.standin;

import java.util.List;
import java.util.Locale;

/**
 * Something that the controllers have decided, as whoever carries it out was told.
 *
 * @param subject what it is about, in words that are free of names from the code
 */
public record Decision(Kind kind, String subject) {

    /** What a decision does. */
    public enum Kind {
        START,
        STOP,
        RENTAL,
        RETURN,
        FINAL_STATE;

        /** The name in test data. */
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
