package io.pepperfield.recovery;

/** The first thing found wrong with an archive. */
public final class ArchiveFault extends Exception {

    private static final long serialVersionUID = 1;

    ArchiveFault(String what) {
        super(what);
    }
}
