package io.pepperfield.admission;

import java.util.HashSet;
import java.util.Set;

/** Tells whether something is said for the first time; for warnings of which there are few. */
final class OncePerText {

    private final Set<String> said = new HashSet<>();

    boolean first(String text) {
        return said.add(text);
    }
}
