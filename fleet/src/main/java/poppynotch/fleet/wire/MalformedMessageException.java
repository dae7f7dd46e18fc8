package poppynotch.fleet.wire;

/** Bytes that are no message of this fleet; the reason is one of few, so that it can be counted. */
public final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1;

    MalformedMessageException(String reason) {
        // A flood of bad datagrams must cost little: no stack trace.
        super(reason, null, false, false);
    }
}
