package poppynotch.numbers;

import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/**
 * The range of a whole number that comes from outside the program. A larger number than the program
 * can hold counts as the largest of the range, so that a limit or a time stays at least as long as
 * the program can tell; it never becomes another, smaller number. Immutable.
 */
public final class NumberRange {

    /** Some hundred years: sums with a clock's time, and their nanoseconds, fit into a long. */
    public static final long MAX_TIME_MS = TimeUnit.DAYS.toMillis(36_500);

    /** Far below the largest long, so that sums of several numbers fit. */
    private static final long MAX_SIZE = Long.MAX_VALUE / 1024;

    /** A time in ms. A fraction is rounded up, as a time that is not 0 must not become 0. */
    public static final NumberRange TIME_MS = new NumberRange(0, MAX_TIME_MS, RoundingMode.CEILING);

    /** A number of things of which there are at most as many as an int can count. */
    public static final NumberRange COUNT =
            new NumberRange(0, Integer.MAX_VALUE, RoundingMode.FLOOR);

    /** A number of bytes or tokens. */
    public static final NumberRange SIZE = new NumberRange(0, MAX_SIZE, RoundingMode.FLOOR);

    private static final int MAX_FRACTION_DIGITS = 100;

    private static final Pattern WHOLE_NUMBER = Pattern.compile("[+-]?[0-9]+");

    private final long min;
    private final long max;
    private final RoundingMode rounding;

    private NumberRange(long min, long max, RoundingMode rounding) {
        this.min = min;
        this.max = max;
        this.rounding = rounding;
    }

    /** A range whose numbers are rounded down. */
    public static NumberRange of(long min, long max) {
        return new NumberRange(min, max, RoundingMode.FLOOR);
    }

    /**
     * Reads a number that has no substitute.
     *
     * @param name names the number in the exception
     * @throws InvalidNumberException if it is outside the range or has a fraction
     */
    public long readExact(String name, BigDecimal value) {
        boolean inRange =
                value.compareTo(BigDecimal.valueOf(min)) >= 0
                        && value.compareTo(BigDecimal.valueOf(max)) <= 0;
        if (!inRange || value.stripTrailingZeros().scale() > 0) {
            throw new InvalidNumberException(
                    name, value, "a whole number from " + min + " to " + max);
        }
        return value.longValueExact();
    }

    /** The number of the range that is nearest to {@code value}. */
    public long clamp(BigDecimal value) {
        if (value.compareTo(BigDecimal.valueOf(max)) >= 0) {
            return max;
        }
        if (value.compareTo(BigDecimal.valueOf(min)) <= 0) {
            return min;
        }
        // Rounding takes as much memory as the number has digits behind its point.
        boolean isTiny = value.scale() - value.precision() > MAX_FRACTION_DIGITS;
        BigDecimal rounded = isTiny ? BigDecimal.valueOf(value.signum(), 1) : value;
        return rounded.setScale(0, rounding).longValueExact();
    }

    /** The number of the range that is nearest to {@code value}, which is no {@code NaN}. */
    public long clamp(double value) {
        return Double.isInfinite(value)
                ? (value > 0 ? max : min)
                : clamp(BigDecimal.valueOf(value));
    }

    /**
     * Parses digits with an optional sign, as in a header; the result is clamped to the range.
     *
     * @return empty if the text is no whole number
     */
    public OptionalLong parse(String text) {
        String trimmed = text.trim();
        try {
            return OptionalLong.of(clamp(Long.parseLong(trimmed)));
        } catch (NumberFormatException e) {
            if (!WHOLE_NUMBER.matcher(trimmed).matches()) {
                return OptionalLong.empty();
            }
            // More digits than a long has.
            return OptionalLong.of(trimmed.startsWith("-") ? min : max);
        }
    }

    private long clamp(long value) {
        return Math.max(min, Math.min(max, value));
    }
}
