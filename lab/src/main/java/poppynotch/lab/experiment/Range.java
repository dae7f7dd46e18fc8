package poppynotch.lab.experiment;

import java.util.SplittableRandom;

/**
 * A figure that is drawn anew for each model server or day: evenly from {@code low} to {@code
 * high}.
 */
public record Range(double low, double high) {

    /** A range of one figure. */
    public static Range of(double figure) {
        return new Range(figure, figure);
    }

    /** One draw. */
    public double draw(SplittableRandom random) {
        return low + (high - low) * random.nextDouble();
    }

    /** The mean of the draws. */
    public double mean() {
        return (low + high) / 2;
    }
}
