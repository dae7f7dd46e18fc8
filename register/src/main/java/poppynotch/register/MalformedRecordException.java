package poppynotch.register;

import java.io.IOException;

/** Thrown if a record on disk or on the wire is damaged or of an incompatible version. */
public final class MalformedRecordException extends IOException {

    private static final long serialVersionUID = 1;

    /**
     * Creates the error.
     *
     * @param problem the field and the value that is out of range
     */
    public MalformedRecordException(String problem) {
        super("Malformed record: " + problem);
    }
}
