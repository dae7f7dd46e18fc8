package poppynotch.register;

import java.io.IOException;

/** A record on disk or on the wire that no encoder writes: it is damaged or of another version. */
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
