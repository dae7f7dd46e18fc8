package poppynotch.balancer;

/** Validates constructor arguments; an error message names the argument and its value. */
final class Checks {

    private Checks() {}

    /** Rejects a value that is not above 0. */
    static void positive(String name, double value) {
        if (!(value > 0)) {
            throw new IllegalArgumentException(name + " must be above 0 but is " + value);
        }
    }

    /** Rejects a value below 0. */
    static void notNegative(String name, double value) {
        if (!(value >= 0)) {
            throw new IllegalArgumentException(name + " must be 0 or more but is " + value);
        }
    }

    /** Rejects a value that is infinite or not a number. */
    static void finite(String name, double value) {
        if (!Double.isFinite(value)) {
            throw new IllegalArgumentException(name + " must be a finite number but is " + value);
        }
    }

    /** Rejects null. */
    static void notNull(String name, Object value) {
        if (value == null) {
            throw new IllegalArgumentException(name + " must be given but is null");
        }
    }
}
