package io.pepperfield.recovery;

/** The first thing found wrong with an archive. */
public final class ArchiveException extends Exception {

    private static final long serialVersionUID = 1;

    ArchiveException(String what) {
        super(what);
    }
}
