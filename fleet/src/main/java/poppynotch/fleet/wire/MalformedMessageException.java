package poppynotch.fleet.wire;

/**
 * Thrown if received bytes are not a valid message of this fleet. The reason is one of a few fixed
 * texts, by which rejected messages are counted. The exception has no stack trace, so that a flood
 * of malformed datagrams costs little.
 */
public final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1;

    MalformedMessageException(String reason) {
        super(reason, null, false, false);
    }
}
