package poppynotch.benchlink;

/**
 * Input that the adapter cannot act on; the message names the batch and, where known, the instance.
 */
public final class WireException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    WireException(String message, Throwable cause) {
        super(message, cause);
    }
}
