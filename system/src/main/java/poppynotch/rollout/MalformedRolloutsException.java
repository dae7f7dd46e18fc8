package poppynotch.rollout;

/** Thrown when a stored or received rollout table cannot be decoded. */
public final class MalformedRolloutsException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    MalformedRolloutsException(Exception cause) {
        super("cannot decode rollout table: " + cause.getMessage(), cause);
    }
}
