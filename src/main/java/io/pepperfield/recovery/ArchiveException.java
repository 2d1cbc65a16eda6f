package io.pepperfield.recovery;

/** Thrown for an archive that is incomplete, damaged or unknown; describes the first fault. */
public final class ArchiveException extends Exception {

    private static final long serialVersionUID = 1;

    ArchiveException(String fault) {
        super(fault);
    }
}
