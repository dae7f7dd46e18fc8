package poppynotch.fleet.wire;

/**
 * Received bytes are no message of this fleet. The reason is one of a few fixed texts, by which
 * malformed messages are counted. The exception has no stack trace, so that a flood of malformed
 * datagrams costs little.
 */
public final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1;

    MalformedMessageException(String reason) {
        super(reason, null, false, false);
    }
}
