package poppynotch.numbers;

import java.math.BigDecimal;

/** Reads numbers with a fraction, such as rates and weights, that come from outside the program. */
public final class Amounts {

    /** Sums and products of amounts remain finite, and below 2^53 they are exact. */
    public static final double MAX_AMOUNT = 1e15;

    /** Sums of weights remain finite; shares are the weights' ratios. */
    public static final double MAX_WEIGHT = 1e100;

    private Amounts() {}

    /** The amount or rate between 0 and {@link #MAX_AMOUNT} that is nearest to {@code value}. */
    public static double clampAmount(BigDecimal value) {
        return Math.max(0, Math.min(MAX_AMOUNT, value.doubleValue()));
    }

    /** The weight up to {@link #MAX_WEIGHT} that is nearest to {@code value}. */
    public static double clampWeight(BigDecimal value) {
        return Math.min(MAX_WEIGHT, value.doubleValue());
    }
}
