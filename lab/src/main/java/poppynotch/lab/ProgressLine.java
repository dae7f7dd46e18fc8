package poppynotch.lab;

import java.util.Locale;
import java.util.function.DoubleConsumer;

/**
 * Shows how much of a campaign is done, as one line on standard error that is overwritten; prints
 * nothing where the process has no terminal. Each day has its own, called by the thread that plays
 * the day.
 *
 * @param days the number of days in the campaign
 * @param completedDays the days that were complete when this one began
 */
record ProgressLine(int days, int completedDays) implements DoubleConsumer {

    @Override
    public void accept(double fractionOfDay) {
        if (System.console() != null) {
            System.err.printf(
                    Locale.ROOT,
                    "\r%3.0f %% of %d days ",
                    100 * (completedDays + fractionOfDay) / days,
                    days);
            System.err.flush();
        }
    }
}
