package poppynotch.config;

/** A configuration is invalid; the message is one line for the operator. */
final class InvalidConfigException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Without a stack trace, as it reports an operator's input and not a fault of the program. */
    InvalidConfigException(String message) {
        super(message, null, false, false);
    }

    /** Throws the exception with a message unless a condition is met. */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new InvalidConfigException(message);
        }
    }
}
