package poppynotch.numbers;

/** Thrown if a number can't be used. The message is one line for the operator, with its name. */
public final class InvalidNumberException extends IllegalArgumentException {

    private static final long serialVersionUID = 1L;

    InvalidNumberException(String name, Object value, String expected) {
        super(name + " is " + value + ", which is not " + expected);
    }
}
