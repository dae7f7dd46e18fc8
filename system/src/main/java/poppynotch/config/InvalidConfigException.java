package poppynotch.config;

/** Thrown if a configuration is invalid. The message is one line for the operator. */
final class InvalidConfigException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /** Omits the stack trace, as the cause is the operator's input and not a program error. */
    InvalidConfigException(String message) {
        super(message, null, false, false);
    }

    /** Throws an exception with this message unless the condition is met. */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new InvalidConfigException(message);
        }
    }
}
